#ifndef EBONY_TRUST_WRITERPROMISE_H
#define EBONY_TRUST_WRITERPROMISE_H

#include "base/time.h"
#include "base/vmidentity.h"
#include "config/revision.h"

namespace ebony::trust {

/// Assurance of one possible writer that no commit above \p Revision_ which it
/// made or was notified of took effect before \p AsOf_, a time on the clock of
/// the process that holds the promise. The holder may rely on it until the
/// staleness limit has passed since \p AsOf_.
struct WriterPromise {
  base::VmIdentity Writer_;
  config::Revision Revision_ = 0;
  base::TimePoint AsOf_;

  friend bool operator==(const WriterPromise &,
                         const WriterPromise &) = default;
};

} // namespace ebony::trust

#endif
