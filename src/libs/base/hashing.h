#ifndef EBONY_BASE_HASHING_H
#define EBONY_BASE_HASHING_H

#include <cstdint>
#include <string_view>

namespace ebony::base {

/// Hash of \p Text that is the same in every process and release (FNV-1a with
/// a final mix). Not for secrets.
std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed = 0);

/// Mixes the bits of \p Value (the finalizer of splitmix64).
std::uint64_t mixBits(std::uint64_t Value);

} // namespace ebony::base

#endif
