#ifndef EBONY_IDEMPOTENCY_SUBMISSIONSTORE_H
#define EBONY_IDEMPOTENCY_SUBMISSIONSTORE_H

#include "idempotency/claim.h"
#include "idempotency/holderdirectory.h"
#include "idempotency/submissionregistry.h"

#include <memory>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <vector>

namespace ebony::idempotency {

/// Decides how one VM incarnation handles submissions, and stores the state of
/// those that it owns. Thread-safe: the state is split into shards, each with
/// its own lock.
class SubmissionStore {
public:
  /// \p EpochSpan is the length of a session epoch; see FirstUseWindow.
  SubmissionStore(SubmissionOwner Self, const RegistryLimits &Limits,
                  std::size_t Shards, base::TimePoint Start,
                  base::Duration EpochSpan);

  const SubmissionOwner &self() const { return Self_; }

  /// Returns the epoch of the sessions that look-ups assign to this VM.
  SessionEpoch epoch(base::TimePoint Now) const;

  /// Decides about a submission that was received, or whose running copy has
  /// finished.
  SubmissionDecision decide(const Submission &Request,
                            const HolderDirectory &Directory,
                            base::TimePoint Now);

  /// Decides about a submission after the claim that decide() asked for.
  SubmissionDecision decideAfterClaim(const Submission &Request,
                                      const ClaimResult &Result,
                                      const HolderDirectory &Directory,
                                      base::TimePoint Now);

  /// Records the result of a run that decide() or decideAfterClaim() allowed.
  /// Returns the notice to send to the successor if the registry was sealed in
  /// the meantime, otherwise std::nullopt.
  std::optional<CompletionNotice> finishRun(const Submission &Request,
                                            Outcome RunOutcome,
                                            StoredAnswerPtr Answer);

  /// Stops new runs and returns the complete registry, addressed to
  /// \p Successor.
  Handover seal(const SubmissionOwner &Successor, base::TimePoint Now);

  /// Records that \p Successor accepted the handover.
  void recordSuccessor(const SubmissionOwner &Successor);

  /// Imports the registry of a predecessor, once, if it is addressed to this
  /// incarnation.
  HandoverReply acceptHandover(const Handover &Offer, base::TimePoint Now);

  /// Applies the result of a run that finished at a predecessor.
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
  SubmissionDecision
  decideForOtherOwner(const Submission &Request, const SubmissionOwner &Owner,
                      const HolderDirectory &Directory) const;
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
