#include "idempotency/hexnumber.h"

#include <array>
#include <charconv>

namespace ebony::idempotency {

namespace {

constexpr int Base = 16;
constexpr std::size_t MaxDigits = 16;

} // namespace

std::string toHex(std::uint64_t Value) {
  std::array<char, MaxDigits> Digits{};
  const auto End =
      std::to_chars(Digits.data(), Digits.data() + Digits.size(), Value, Base);
  return {Digits.data(), End.ptr};
}

std::optional<std::uint64_t> fromHex(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Value, Base);
  if (Text.empty() || Result.ec != std::errc() || Result.ptr != End)
    return std::nullopt;
  return Value;
}

} // namespace ebony::idempotency
