#ifndef EBONY_IDEMPOTENCY_SUBMISSION_H
#define EBONY_IDEMPOTENCY_SUBMISSION_H

#include "base/name.h"
#include "idempotency/attemptnumber.h"
#include "idempotency/idempotencykey.h"
#include "idempotency/submissionowner.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace ebony::idempotency {

/// How a submission reached this VM.
enum class SubmissionSource : std::uint8_t {
  FromCaller, ///< Straight from its caller.
  Relayed     ///< From another entry VM, which takes this VM for the holder.
};

/// One non-idempotent request as the decisions about it see it.
class Submission {
public:
  /// \p Fingerprint is a digest of what is asked for; \p Customer is empty on
  /// routes open to all.
  Submission(base::CustomerName Customer, IdempotencyKey Key,
             AttemptNumber Attempt, std::uint64_t Fingerprint,
             SubmissionSource Source = SubmissionSource::FromCaller)
      : Customer_(std::move(Customer)), Key_(std::move(Key)), Attempt_(Attempt),
        Fingerprint_(Fingerprint), Source_(Source) {}

  const base::CustomerName &customer() const { return Customer_; }
  const IdempotencyKey &key() const { return Key_; }
  const AttemptNumber &attempt() const { return Attempt_; }
  std::uint64_t fingerprint() const { return Fingerprint_; }
  SubmissionSource source() const { return Source_; }

  /// Holder of the claim on a caller-made key, once some VM has read it.
  const std::optional<SubmissionOwner> &claimedBy() const { return ClaimedBy_; }

  /// This submission as another VM gets it; \p Resent when a copy of it may
  /// have reached a VM already.
  Submission asRelayed(bool Resent) const {
    Submission Copy = *this;
    Copy.Source_ = SubmissionSource::Relayed;
    if (Resent)
      Copy.Attempt_ = Attempt_.asResent();
    return Copy;
  }

  /// This submission with the claim's \p Holder.
  Submission withClaimOwner(SubmissionOwner Owner) const {
    Submission Copy = *this;
    Copy.ClaimedBy_ = std::move(Owner);
    return Copy;
  }

  friend bool operator==(const Submission &, const Submission &) = default;

private:
  base::CustomerName Customer_;
  IdempotencyKey Key_;
  AttemptNumber Attempt_;
  std::uint64_t Fingerprint_;
  SubmissionSource Source_;
  std::optional<SubmissionOwner> ClaimedBy_;
};

} // namespace ebony::idempotency

#endif
