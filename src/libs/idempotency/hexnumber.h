#ifndef EBONY_IDEMPOTENCY_HEXNUMBER_H
#define EBONY_IDEMPOTENCY_HEXNUMBER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ebony::idempotency {

/// Returns \p Value in lower-case hexadecimal without leading zeros.
std::string toHex(std::uint64_t Value);

/// Parses a hexadecimal number; returns std::nullopt if \p Text is malformed.
std::optional<std::uint64_t> fromHex(std::string_view Text);

} // namespace ebony::idempotency

#endif
