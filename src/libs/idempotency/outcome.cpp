#include "idempotency/outcome.h"

#include <array>

namespace ebony::idempotency {

std::string_view headerText(Outcome Result) {
  constexpr std::array<std::string_view, 3> Texts = {"not-run", "unknown",
                                                     "complete"};
  return Texts.at(static_cast<std::size_t>(Result));
}

} // namespace ebony::idempotency
