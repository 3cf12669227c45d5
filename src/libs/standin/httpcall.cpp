#include "standin/httpcall.h"

#include <Poco/String.h>
#include <Poco/URI.h>

#include <charconv>
#include <utility>

namespace ebony::standin {

HttpCall::HttpCall(std::string Method, std::string Target, std::string Caller,
                   std::vector<HttpHeader> Headers)
    : Method_(std::move(Method)), Target_(std::move(Target)),
      Caller_(std::move(Caller)), Headers_(std::move(Headers)) {
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
