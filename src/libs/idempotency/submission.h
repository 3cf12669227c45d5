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
enum class Arrival : std::uint8_t {
  FromCaller, ///< Straight from its caller.
  Relayed     ///< From another entry VM, which takes this VM for the holder.
};

/// One non-idempotent request as the decisions about it see it.
class Submission {
public:
  /// \p Fingerprint is a digest of what is asked for; \p Customer is empty on
  /// routes open to all.
  Submission(base::CustomerName Customer, IdempotencyKey Key, AttemptMark Mark,
             std::uint64_t Fingerprint, Arrival Way = Arrival::FromCaller)
      : Customer_(std::move(Customer)), Key_(std::move(Key)), Mark_(Mark),
        Fingerprint_(Fingerprint), Way_(Way) {}

  const base::CustomerName &customer() const { return Customer_; }
  const IdempotencyKey &key() const { return Key_; }
  const AttemptMark &mark() const { return Mark_; }
  std::uint64_t fingerprint() const { return Fingerprint_; }
  Arrival way() const { return Way_; }

  /// Holder of the claim on a caller-made key, once some VM has read it.
  const std::optional<MemoryHolder> &claimedBy() const { return ClaimedBy_; }

  /// This submission as another VM gets it; \p Resent when a copy of it may
  /// have reached a VM already.
  Submission relayed(bool Resent) const {
    Submission Copy = *this;
    Copy.Way_ = Arrival::Relayed;
    if (Resent)
      Copy.Mark_ = Mark_.resent();
    return Copy;
  }

  /// This submission with the claim's \p Holder.
  Submission withClaim(MemoryHolder Holder) const {
    Submission Copy = *this;
    Copy.ClaimedBy_ = std::move(Holder);
    return Copy;
  }

  friend bool operator==(const Submission &, const Submission &) = default;

private:
  base::CustomerName Customer_;
  IdempotencyKey Key_;
  AttemptMark Mark_;
  std::uint64_t Fingerprint_;
  Arrival Way_;
  std::optional<MemoryHolder> ClaimedBy_;
};

} // namespace ebony::idempotency

#endif
