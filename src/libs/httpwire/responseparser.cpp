#include "httpwire/responseparser.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>

namespace ebony::httpwire {

namespace {

namespace beast = boost::beast;

constexpr std::uint32_t MaxHeadBytes = 32UL << 10;

// Bytes of chunk extensions in one response. Nobody uses any, and each of them
// costs the reader more than a byte of the body.
constexpr std::size_t MaxExtensionBytes = 16UL << 10;

ResponseKind kindOfStatus(unsigned Status) {
  constexpr unsigned FirstInterim = 100;
  constexpr unsigned SwitchingProtocols = 101;
  constexpr unsigned FirstFinal = 200;
  constexpr unsigned FirstUndefined = 600;
  if (Status < FirstInterim || Status == SwitchingProtocols ||
      Status >= FirstUndefined)
    return ResponseKind::Invalid;
  return Status < FirstFinal ? ResponseKind::Interim : ResponseKind::Final;
}

} // namespace

ResponseParser::ResponseParser(std::string_view Method) {
  header_limit(MaxHeadBytes);
  // Bodies are read piece by piece and never kept whole.
  body_limit(UINT64_MAX);
  skip(Method == "HEAD");
  OnChunkHeader_ = [this](std::uint64_t, beast::string_view Extensions,
                          beast::error_code &Error) {
    ExtensionBytes_ += Extensions.size();
    if (ExtensionBytes_ > MaxExtensionBytes)
      Error = beast::http::error::bad_chunk_extension;
  };
  on_chunk_header(OnChunkHeader_);
}

ResponseKind ResponseParser::kind() const {
  const ResponseKind Kind = kindOfStatus(get().result_int());
  if (Kind != ResponseKind::Final)
    return Kind;
  // The field is not passed on, so a body in another coding would look like the
  // plain one.
  const auto [First, Last] =
      get().equal_range(beast::http::field::transfer_encoding);
  for (auto Coding = First; Coding != Last; ++Coding)
    if (!beast::iequals(Coding->value(), "chunked"))
      return ResponseKind::Invalid;
  return Kind;
}

} // namespace ebony::httpwire
