#ifndef EBONY_LOAD_RATEAUDIT_H
#define EBONY_LOAD_RATEAUDIT_H

#include "base/time.h"

#include <vector>

namespace ebony::load {

/// Interval within which a served request was admitted.
struct AdmissionWindow {
  base::Duration Sent_{0};
  base::Duration Answered_{0};

  friend bool operator==(const AdmissionWindow &,
                         const AdmissionWindow &) = default;
};

/// Returns the number of served requests that exceed the rate and burst under
/// every possible order of admissions. Has no false positives.
int countOverRate(std::vector<AdmissionWindow> Served, double RequestsPerSecond,
                  double BurstRequests);

} // namespace ebony::load

#endif
