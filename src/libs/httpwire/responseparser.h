#ifndef EBONY_HTTPWIRE_RESPONSEPARSER_H
#define EBONY_HTTPWIRE_RESPONSEPARSER_H

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <functional>
#include <string_view>

namespace ebony::httpwire {

/// Bytes of a response that are kept unparsed. A head or a chunk's header that
/// is longer ends the response: a faulty upstream may send one without end.
constexpr std::size_t MaxUnparsedBytes = 128UL << 10;

/// Number of interim responses that are skipped before the response counts as
/// lost.
constexpr int MaxInterimResponses = 8;

/// What the head of a response says about it.
enum class ResponseKind {
  /// Another response to the same request follows.
  Interim,
  Final,
  /// The bytes are no response to a request that asked for no upgrade and no
  /// transfer coding.
  Invalid,
};

/// Parser for one response. Limits what is kept of bytes that a faulty upstream
/// sends without end; the buffer before it is to hold MaxUnparsedBytes.
class ResponseParser final : public boost::beast::http::response_parser<
                                 boost::beast::http::buffer_body> {
public:
  /// \p Method is that of the request.
  explicit ResponseParser(std::string_view Method);

  /// Returns what the response is; the head must have been read.
  ResponseKind kind() const;

private:
  std::size_t ExtensionBytes_ = 0;
  std::function<void(std::uint64_t, boost::beast::string_view,
                     boost::beast::error_code &)>
      OnChunkHeader_;
};

} // namespace ebony::httpwire

#endif
