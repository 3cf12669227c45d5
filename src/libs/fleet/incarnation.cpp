#include "fleet/incarnation.h"

#include <random>

namespace ebony::fleet {

base::Incarnation newIncarnation() {
  std::random_device Source;
  std::uniform_int_distribution<base::Incarnation> Numbers(1, INT64_MAX);
  return Numbers(Source);
}

} // namespace ebony::fleet
