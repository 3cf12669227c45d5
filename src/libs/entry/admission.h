#ifndef EBONY_ENTRY_ADMISSION_H
#define EBONY_ENTRY_ADMISSION_H

#include "base/name.h"
#include "base/time.h"

#include <string>

namespace ebony::entry {

/// Decision on whether a customer may send one more request now.
struct AdmissionDecision {
  bool IsAdmitted_ = false;
  /// Time after which the customer may retry; set on a refusal.
  base::Duration RetryAfter_{0};
  /// Figures on which the decision is based, for the decision record.
  std::string Considered_;

  friend bool operator==(const AdmissionDecision &,
                         const AdmissionDecision &) = default;
};

/// Enforces the rate and burst limits of customers. Thread-safe.
class Admission {
public:
  virtual ~Admission() = default;

  virtual AdmissionDecision admit(const base::CustomerName &Customer,
                                  base::TimePoint Now) = 0;
};

} // namespace ebony::entry

#endif
