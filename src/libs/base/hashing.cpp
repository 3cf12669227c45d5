#include "base/hashing.h"

namespace ebony::base {

namespace {

constexpr std::uint64_t FnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t FnvPrime = 1099511628211ULL;

} // namespace

std::uint64_t mixBits(std::uint64_t Value) {
  Value ^= Value >> 30;
  Value *= 0xbf58476d1ce4e5b9ULL;
  Value ^= Value >> 27;
  Value *= 0x94d049bb133111ebULL;
  return Value ^ (Value >> 31);
}

std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed) {
  std::uint64_t Hash = FnvOffset ^ mixBits(Seed);
  for (char Symbol : Text) {
    Hash ^= static_cast<unsigned char>(Symbol);
    Hash *= FnvPrime;
  }
  return mixBits(Hash);
}

} // namespace ebony::base
