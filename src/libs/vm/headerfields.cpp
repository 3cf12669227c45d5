#include "vm/headerfields.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace ebony::vm {

namespace {

namespace beast = boost::beast;

constexpr std::array<std::string_view, 9> HopByHopFields = {
    "Connection",       "Keep-Alive",          "Proxy-Authenticate",
    "Proxy-Connection", "Proxy-Authorization", "TE",
    "Trailer",          "Transfer-Encoding",   "Upgrade"};

beast::string_view toBeast(std::string_view Text) {
  return {Text.data(), Text.size()};
}

std::string_view trimSpaces(std::string_view Text) {
  while (!Text.empty() && Text.front() == ' ')
    Text.remove_prefix(1);
  while (!Text.empty() && Text.back() == ' ')
    Text.remove_suffix(1);
  return Text;
}

} // namespace

std::string_view valueOf(const Fields &Source, std::string_view Name) {
  const auto Value = Source[toBeast(Name)];
  return {Value.data(), Value.size()};
}

std::string_view cookieOf(const Fields &Source, std::string_view Name) {
  const auto [First, Last] = Source.equal_range("Cookie");
  for (auto Cookie = First; Cookie != Last; ++Cookie) {
    std::string_view Remaining(Cookie->value().data(), Cookie->value().size());
    while (!Remaining.empty()) {
      const std::size_t End = std::min(Remaining.find(';'), Remaining.size());
      const std::string_view Pair = trimSpaces(Remaining.substr(0, End));
      Remaining.remove_prefix(std::min(End + 1, Remaining.size()));
      const std::size_t Equals = Pair.find('=');
      if (Equals != std::string_view::npos && Pair.substr(0, Equals) == Name)
        return Pair.substr(Equals + 1);
    }
  }
  return {};
}

std::optional<double> parseDecimal(std::string_view Text) {
  const std::string_view Number = trimSpaces(Text);
  const char *const Last = Number.data() + Number.size();
  double Value = 0;
  const auto [End, Error] = std::from_chars(Number.data(), Last, Value);
  if (Error != std::errc() || End != Last || !std::isfinite(Value) || Value < 0)
    return std::nullopt;
  return Value;
}

std::optional<std::int64_t> parseNonNegative(std::string_view Text) {
  std::int64_t Value = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || End != Text.data() + Text.size() || Value < 0)
    return std::nullopt;
  return Value;
}

bool equalsIgnoringCase(std::string_view A, std::string_view B) {
  return beast::iequals(toBeast(A), toBeast(B));
}

bool isHopByHopField(std::string_view Name, std::string_view Connection) {
  if (std::any_of(
          HopByHopFields.begin(), HopByHopFields.end(),
          [&](std::string_view Hop) { return equalsIgnoringCase(Hop, Name); }))
    return true;
  return !Connection.empty() &&
         beast::http::token_list(toBeast(Connection)).exists(toBeast(Name));
}

} // namespace ebony::vm
