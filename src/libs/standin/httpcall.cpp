#include "standin/httpcall.h"

#include <Poco/Ascii.h>
#include <Poco/Exception.h>
#include <Poco/String.h>
#include <Poco/URI.h>

#include <charconv>
#include <string_view>
#include <utility>

namespace ebony::standin {

namespace {

/// Throws Poco::SyntaxException if \p Target holds a byte that has to be
/// encoded. Poco reads some of these bytes as a client may have meant them.
void checkEncoding(const std::string &Target) {
  constexpr std::string_view Allowed = "-._~:/?@!$&'()*+,;=";
  for (std::size_t At = 0; At < Target.size(); ++At) {
    const auto Byte = static_cast<unsigned char>(Target[At]);
    const bool IsEncoded = Byte == '%' && At + 2 < Target.size() &&
                           Poco::Ascii::isHexDigit(Target[At + 1]) &&
                           Poco::Ascii::isHexDigit(Target[At + 2]);
    if (!IsEncoded && !Poco::Ascii::isAlphaNumeric(Byte) &&
        Allowed.find(Target[At]) == std::string_view::npos)
      throw Poco::SyntaxException("unencoded byte in the request target");
  }
}

} // namespace

HttpCall::HttpCall(std::string Method, std::string Target, std::string Caller,
                   std::vector<HttpHeader> Headers)
    : Method_(std::move(Method)), Target_(std::move(Target)),
      Caller_(std::move(Caller)), Headers_(std::move(Headers)) {
  checkEncoding(Target_);
  const Poco::URI Parsed(Target_);
  Path_ = Parsed.getPath();
  for (const auto &[Name, Value] : Parsed.getQueryParameters())
    Query_.push_back({Name, Value});
}

std::string HttpCall::header(const std::string &Name) const {
  for (const HttpHeader &Header : Headers_)
    if (Poco::icompare(Header.Name_, Name) == 0)
      return Header.Value_;
  return {};
}

std::string HttpCall::query(const std::string &Name) const {
  for (const HttpHeader &Parameter : Query_)
    if (Parameter.Name_ == Name)
      return Parameter.Value_;
  return {};
}

std::optional<std::int64_t> HttpCall::number(const std::string &Text) {
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Value);
  if (Result.ec != std::errc() || Result.ptr != End || Value < 0)
    return std::nullopt;
  return Value;
}

} // namespace ebony::standin
