#ifndef EBONY_IDEMPOTENCY_SUBMISSION_H
#define EBONY_IDEMPOTENCY_SUBMISSION_H

#include "base/name.h"
#include "idempotency/attemptmark.h"
#include "idempotency/idempotencykey.h"
#include "idempotency/submissionowner.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace ebony::idempotency {

/// Where this VM received a submission from.
enum class SubmissionSource : std::uint8_t {
  FromCaller, ///< Directly from its caller.
  Relayed     ///< From another entry VM, which takes this VM for the owner.
};

/// The properties of a non-idempotent request that decide how it is handled.
class Submission {
public:
  /// \p Fingerprint is a digest of the request's content; \p Customer is empty
  /// on routes open to all callers.
  Submission(base::CustomerName Customer, IdempotencyKey Key, AttemptMark Mark,
             std::uint64_t Fingerprint,
             SubmissionSource Source = SubmissionSource::FromCaller)
      : Customer_(std::move(Customer)), Key_(std::move(Key)), Mark_(Mark),
        Fingerprint_(Fingerprint), Source_(Source) {}

  const base::CustomerName &customer() const { return Customer_; }
  const IdempotencyKey &key() const { return Key_; }
  const AttemptMark &mark() const { return Mark_; }
  std::uint64_t fingerprint() const { return Fingerprint_; }
  SubmissionSource source() const { return Source_; }

  /// Returns the owner of the claim on a caller-made key, once some VM has read
  /// it.
  const std::optional<SubmissionOwner> &claimedBy() const { return ClaimedBy_; }

  /// Returns this submission as it is sent to another VM. \p Resent is true if
  /// a copy may have reached a VM before.
  Submission asRelayed(bool Resent) const {
    Submission Copy = *this;
    Copy.Source_ = SubmissionSource::Relayed;
    if (Resent)
      Copy.Mark_ = Mark_.resent();
    return Copy;
  }

  /// Returns this submission with \p Owner as the owner of its claim.
  Submission withClaimOwner(SubmissionOwner Owner) const {
    Submission Copy = *this;
    Copy.ClaimedBy_ = std::move(Owner);
    return Copy;
  }

  friend bool operator==(const Submission &, const Submission &) = default;

private:
  base::CustomerName Customer_;
  IdempotencyKey Key_;
  AttemptMark Mark_;
  std::uint64_t Fingerprint_;
  SubmissionSource Source_;
  std::optional<SubmissionOwner> ClaimedBy_;
};

} // namespace ebony::idempotency

#endif
