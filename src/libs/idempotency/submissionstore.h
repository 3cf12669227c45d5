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
  SubmissionStore(SubmissionOwner Self, const RegistryLimits &Limits,
                  std::size_t Shards, base::TimePoint Start,
                  base::Duration EpochSpan);

  const SubmissionOwner &self() const { return Self_; }

  /// Epoch of the sessions that look-ups name this VM in.
  SessionEpoch epoch(base::TimePoint Now) const;

  /// Decides about a submission that arrives, or whose joined copy has ended.
  SubmissionDecision decide(const Submission &Request,
                            const OwnerDirectory &Directory,
                            base::TimePoint Now);

  /// Decides after the table service settled, or failed to settle, the claim
  /// that arrive() asked for.
  SubmissionDecision decideAfterClaim(const Submission &Request,
                                      const ClaimResult &Result,
                                      const OwnerDirectory &Directory,
                                      base::TimePoint Now);

  /// Records the end of a run that arrive() or decideAfterClaim() allowed. The
  /// notice goes to the successor, if there is one.
  std::optional<CompletionNotice> finishRun(const Submission &Request,
                                            Outcome RunOutcome,
                                            StoredAnswerPtr Answer);

  /// Starts no run from now on; the whole memory, addressed to \p Successor.
  Handover seal(const SubmissionOwner &Successor, base::TimePoint Now);

  /// Notes that \p Successor holds the memory.
  void recordSuccessor(const SubmissionOwner &Successor);

  /// Takes over a memory that is addressed to this incarnation, once.
  HandoverReply acceptHandover(const Handover &Offer, base::TimePoint Now);

  /// Takes over the end of a run of a predecessor.
  void applyCompletion(const CompletionNotice &Notice);

  std::size_t sessionCount() const;

private:
  struct Shard {
    Shard(const SubmissionOwner &Self, const RegistryLimits &Limits,
          std::uint64_t First, std::uint64_t Step)
        : Registry_(Self, Limits, First, Step) {}

    mutable std::mutex Mutex_;
    SubmissionRegistry Registry_;
  };
  struct OwnerWindow {
    SubmissionOwner Owner_;
    FirstUseWindow Window_;
  };

  Shard &shardOf(const SessionId &Id) const;
  std::optional<FirstUseWindow> windowOf(const SubmissionOwner &Owner) const;
  SubmissionDecision decideForOtherOwner(const Submission &Request,
                                         const SubmissionOwner &Owner,
                                         const OwnerDirectory &Directory) const;
  SubmissionDecision redirectToSuccessor(const Submission &Request,
                                         SubmissionDecision Decision) const;

  SubmissionOwner Self_;
  base::Duration EpochSpan_;
  std::vector<std::unique_ptr<Shard>> Shards_;
  mutable std::shared_mutex OwnersMutex_;
  std::mutex HandoverMutex_;
  std::optional<base::TimePoint> SealedAt_;
  std::vector<OwnerWindow> OwnerWindows_;
  std::optional<SubmissionOwner> Successor_;
};

} // namespace ebony::idempotency

#endif
