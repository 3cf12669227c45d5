#ifndef EBONY_CONFIG_FRESHNESSEVIDENCE_H
#define EBONY_CONFIG_FRESHNESSEVIDENCE_H

#include "base/time.h"
#include "config/revision.h"

namespace ebony::config {

/// Proof that no revision above \p Revision_ was committed before \p AsOf_, a
/// time on this process's clock.
struct FreshnessEvidence {
  Revision Revision_ = 0;
  base::TimePoint AsOf_;

  friend bool operator==(const FreshnessEvidence &,
                         const FreshnessEvidence &) = default;
};

} // namespace ebony::config

#endif
