#ifndef EBONY_IDEMPOTENCY_OUTCOME_H
#define EBONY_IDEMPOTENCY_OUTCOME_H

#include <cstdint>
#include <string_view>

namespace ebony::idempotency {

/// What is known about the run of a submission.
enum class Outcome : std::uint8_t {
  NotRun,  ///< No upstream ran it, and none will.
  Unknown, ///< An upstream may have run it.
  Complete ///< An upstream ran it and its complete answer was received.
};

/// Returns the value for the Ebony-Outcome header.
std::string_view headerText(Outcome Result);

} // namespace ebony::idempotency

#endif
