#ifndef EBONY_VM_REQUESTREADER_H
#define EBONY_VM_REQUESTREADER_H

#include "asynckit/awaiting.h"
#include "traffic/callerlimits.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <optional>
#include <string>

namespace ebony::vm {

/// Reads the requests of one connection piece by piece within the limits that
/// the configuration sets.
class RequestReader {
public:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::buffer_body>;

  explicit RequestReader(boost::asio::ip::tcp::socket &Socket)
      : Socket_(Socket) {}

  /// Prepares for the next request under the limits given.
  void begin(const traffic::CallerLimits &Limits);

  /// Waits for the first byte of the next request; false when the connection
  /// ended.
  asynckit::awaitable<bool> awaitFirstByte();

  /// What reading a head came to.
  enum class Head { Read, Ended, Malformed, HeaderTooLarge, BodyTooLarge };
  asynckit::awaitable<Head> readHead();

  /// Adds what comes next of the body to \p Piece; false when the connection
  /// broke.
  asynckit::awaitable<bool> readPiece(std::string &Piece);

  /// The next bytes of the body; empty at its end, nothing when the connection
  /// broke.
  asynckit::awaitable<std::optional<std::string>> nextPiece();

  bool isWhole() const { return Parser_->is_done(); }
  Parser &parser() { return *Parser_; }

private:
  boost::asio::ip::tcp::socket &Socket_;
  boost::beast::flat_buffer Buffer_;
  std::optional<Parser> Parser_;
};

} // namespace ebony::vm

#endif
