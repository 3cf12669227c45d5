#ifndef EBONY_IDEMPOTENCY_SUBMISSIONSTORE_H
#define EBONY_IDEMPOTENCY_SUBMISSIONSTORE_H

#include "idempotency/claim.h"
#include "idempotency/ownerdirectory.h"
#include "idempotency/submissionregistry.h"

#include <memory>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <vector>

namespace ebony::idempotency {

/// Decides what one VM incarnation does with submissions, and remembers those
/// that it alone may run. Thread-safe: shards, each under its own lock.
class SubmissionStore {
public:
  /// \p EpochSpan is the length of a session epoch; see FirstUseWindow.
  SubmissionStore(MemoryHolder Self, const MemoryLimits &Limits,
                  std::size_t Shards, base::TimePoint Start,
                  base::Duration EpochSpan);

  const MemoryHolder &self() const { return Self_; }

  /// Epoch of the sessions that look-ups name this VM in.
  SessionEpoch epoch(base::TimePoint Now) const;

  /// Decides about a submission that arrives, or whose joined copy has ended.
  SubmissionDecision arrive(const Submission &Request,
                            const HolderDirectory &Directory,
                            base::TimePoint Now);

  /// Decides after the table service settled, or failed to settle, the claim
  /// that arrive() asked for.
  SubmissionDecision claimEnded(const Submission &Request,
                                const ClaimResult &Result,
                                const HolderDirectory &Directory,
                                base::TimePoint Now);

  /// Records the end of a run that arrive() or claimEnded() allowed. The notice
  /// goes to the successor, if there is one.
  std::optional<EndNotice> finish(const Submission &Request, Outcome End,
                                  StoredAnswerPtr Answer);

  /// Starts no run from now on; the whole memory, addressed to \p Successor.
  Handover seal(const MemoryHolder &Successor, base::TimePoint Now);

  /// Notes that \p Successor holds the memory.
  void handedOver(const MemoryHolder &Successor);

  /// Takes over a memory that is addressed to this incarnation, once.
  HandoverReply adopt(const Handover &Offer, base::TimePoint Now);

  /// Takes over the end of a run of a predecessor.
  void adoptEnd(const EndNotice &Notice);

  std::size_t sessionCount() const;

private:
  struct Shard {
    Shard(const MemoryHolder &Self, const MemoryLimits &Limits,
          std::uint64_t First, std::uint64_t Step)
        : Memory_(Self, Limits, First, Step) {}

    mutable std::mutex Mutex_;
    SubmissionMemory Memory_;
  };
  struct Held {
    MemoryHolder Holder_;
    FirstUseWindow Window_;
  };

  Shard &shardOf(const SessionId &Id) const;
  std::optional<FirstUseWindow> windowOf(const MemoryHolder &Holder) const;
  SubmissionDecision elsewhere(const Submission &Request,
                               const MemoryHolder &Holder,
                               const HolderDirectory &Directory) const;
  SubmissionDecision afterSeal(const Submission &Request,
                               SubmissionDecision Decision) const;

  MemoryHolder Self_;
  base::Duration EpochSpan_;
  std::vector<std::unique_ptr<Shard>> Shards_;
  mutable std::shared_mutex HeldMutex_;
  std::mutex AdoptMutex_;
  std::optional<base::TimePoint> Sealed_;
  std::vector<Held> Held_;
  std::optional<MemoryHolder> Successor_;
};

} // namespace ebony::idempotency

#endif
