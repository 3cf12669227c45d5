#include "idempotency/reason.h"

#include <array>

namespace ebony::idempotency {

std::string_view message(Reason Cause) {
  constexpr std::array<std::string_view, 13> Messages = {
      "Nothing is amiss.",
      "The entry VM that remembers this session is gone; look up a new session "
      "and check the request's effect before you submit it again.",
      "This entry VM does not remember this session; ask for a new look-up.",
      "This session is no longer remembered; look up a new one.",
      "Submissions with so low a number are no longer remembered; check the "
      "request's effect, then go on with the next number.",
      "This entry VM can remember no more submissions; try again with the next "
      "number after the time in Retry-After.",
      "This key came with a different request before; use a new key.",
      "This key was answered with \"not run\" and stays closed; submit again "
      "under a new key, or count your submissions in Ebony-Attempt.",
      "This entry VM is stopping; look up a new session.",
      "A stopping entry VM still runs this request; ask again with the same "
      "key after the time in Retry-After.",
      "The request ran and its answer is not kept; check its effect.",
      "An upstream may have run the request and its answer was lost; check its "
      "effect before you submit it under a new key.",
      "The key could not be claimed in time; submit again after the time in "
      "Retry-After."};
  return Messages.at(static_cast<std::size_t>(Cause));
}

} // namespace ebony::idempotency
