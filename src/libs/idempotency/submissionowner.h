#ifndef EBONY_IDEMPOTENCY_SUBMISSIONOWNER_H
#define EBONY_IDEMPOTENCY_SUBMISSIONOWNER_H

#include "base/vmidentity.h"

#include <tuple>
#include <utility>

namespace ebony::idempotency {

/// The VM incarnation that owns certain submissions: only it may run them, and
/// it keeps their state.
class SubmissionOwner {
public:
  SubmissionOwner() = default;
  SubmissionOwner(base::VmAddress Address, base::Incarnation Number)
      : Address_(std::move(Address)), Incarnation_(Number) {}

  const base::VmAddress &address() const { return Address_; }
  base::Incarnation incarnation() const { return Incarnation_; }

  friend bool operator==(const SubmissionOwner &,
                         const SubmissionOwner &) = default;
  friend bool operator<(const SubmissionOwner &A, const SubmissionOwner &B) {
    return std::tie(A.Address_, A.Incarnation_) <
           std::tie(B.Address_, B.Incarnation_);
  }

private:
  base::VmAddress Address_;
  base::Incarnation Incarnation_ = 0;
};

} // namespace ebony::idempotency

#endif
