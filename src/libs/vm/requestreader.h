#ifndef EBONY_VM_REQUESTREADER_H
#define EBONY_VM_REQUESTREADER_H

#include "traffic/callerlimits.h"
#include "vm/callerinput.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <optional>
#include <string>

namespace ebony::vm {

/// Parses the requests of one connection incrementally, within the limits of
/// the configuration.
class RequestReader {
public:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::buffer_body>;

  explicit RequestReader(CallerInput &Input) : Input_(Input) {}

  /// Prepares for the next request, which is read within \p Limits.
  void begin(const traffic::CallerLimits &Limits);

  /// Waits for the first byte of the next request or the end of the input.
  asynckit::awaitable<void> awaitFirstByte();

  /// Result of reading the head of a request.
  enum class HeadStatus {
    Read,
    Ended,
    Malformed,
    HeaderTooLarge,
    BodyTooLarge
  };
  asynckit::awaitable<HeadStatus> readHead();

  /// Appends the next part of the body to \p Piece. Returns false if the
  /// connection failed.
  asynckit::awaitable<bool> readPiece(std::string &Piece);

  /// Returns the next part of the body, an empty string at its end, and
  /// std::nullopt if the connection failed.
  asynckit::awaitable<std::optional<std::string>> nextPiece();

  /// Ends the reading of the current request: what waits for more of it fails.
  void stop();

  /// Discards the part of the body that has arrived.
  void discardArrived();

  bool isComplete() const { return Parser_->is_done(); }
  Parser &parser() { return *Parser_; }

private:
  CallerInput &Input_;
  std::optional<Parser> Parser_;
  bool IsStopped_ = false;
};

} // namespace ebony::vm

#endif
