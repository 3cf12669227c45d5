#ifndef EBONY_STORE_POSITION_H
#define EBONY_STORE_POSITION_H

#include <cstdint>

namespace ebony::store {

/// A position in the store's history: the era in the high bits, the version in
/// the low ones. The era rises each time the store comes back from an older
/// copy of itself, after which versions are given out again, so positions are
/// ordered as the pair of both.
constexpr int VersionBits = 40;

constexpr std::int64_t makePosition(std::int64_t Era, std::int64_t Version) {
  return (Era << VersionBits) | Version;
}

constexpr std::int64_t eraOf(std::int64_t Position) {
  return Position >> VersionBits;
}

constexpr std::int64_t versionOf(std::int64_t Position) {
  return Position & ((std::int64_t{1} << VersionBits) - 1);
}

} // namespace ebony::store

#endif
