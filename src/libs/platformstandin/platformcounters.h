#ifndef EBONY_PLATFORMSTANDIN_PLATFORMCOUNTERS_H
#define EBONY_PLATFORMSTANDIN_PLATFORMCOUNTERS_H

#include <cstdint>

namespace ebony::platformstandin {

/// Operations of the platform stand-in since its start.
struct PlatformCounters {
  std::uint64_t Reads_ = 0;
  std::uint64_t Writes_ = 0;
  std::uint64_t RefusedReads_ = 0;  ///< Over the rate limit.
  std::uint64_t RefusedWrites_ = 0; ///< Over the rate limit.
  std::uint64_t LostAnswers_ = 0;
  std::uint64_t Conflicts_ = 0; ///< Transactions with failed conditions.

  friend bool operator==(const PlatformCounters &,
                         const PlatformCounters &) = default;
};

} // namespace ebony::platformstandin

#endif
