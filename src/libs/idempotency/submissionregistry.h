#ifndef EBONY_IDEMPOTENCY_SUBMISSIONREGISTRY_H
#define EBONY_IDEMPOTENCY_SUBMISSIONREGISTRY_H

#include "idempotency/firstusewindow.h"
#include "idempotency/handover.h"
#include "idempotency/registrylimits.h"
#include "idempotency/sessionrecord.h"
#include "idempotency/submissiondecision.h"

#include <boost/intrusive/list.hpp>

#include <optional>
#include <unordered_map>
#include <vector>

namespace ebony::idempotency {

/// One shard of what a VM incarnation remembers of the submissions that it
/// alone may run. Not thread-safe.
class SubmissionRegistry {
public:
  /// Claims of \p Self made by this shard are numbered from \p FirstClaim in
  /// steps of \p ClaimStep, so that no two shards use the same number.
  SubmissionRegistry(SubmissionOwner Self, const RegistryLimits &Limits,
                     std::uint64_t FirstClaim, std::uint64_t ClaimStep);

  /// Decides about a submission whose session's holder is here.
  SubmissionDecision decideInSession(const Submission &Request,
                                     const FirstUseWindow &Window,
                                     base::TimePoint Now);

  /// Decides about a submission with a caller-made key; \p OwnedHere when a VM
  /// has read that the claim is held here.
  SubmissionDecision decideWithCallerKey(const Submission &Request,
                                         bool OwnedHere, base::TimePoint Now);

  /// The claim is held by another holder, which alone remembers it.
  void dropLostClaim(const Submission &Request);

  /// The claim is held here by \p Row: for this submission, or for one that
  /// was forgotten.
  SubmissionDecision decideClaimOwnedHere(const Submission &Request,
                                          const ClaimRow &Row);

  /// The table service did not settle the claim in time.
  SubmissionDecision decideUnresolvedClaim(const Submission &Request);

  /// Records the end of a run; returns what to tell the successor, if a
  /// hand-over took the memory meanwhile.
  std::optional<EntrySnapshot> finishRun(const Submission &Request,
                                         Outcome RunOutcome,
                                         StoredAnswerPtr Answer);

  /// Starts no new run from now on, and returns all that is remembered.
  std::vector<SessionSnapshot> seal();

  /// Takes over what another holder remembered; \p FirstUseEnds as in
  /// SessionRecord.
  void importSession(const SessionSnapshot &Session,
                     base::TimePoint FirstUseEnds);

  /// Takes over the end of a run of the predecessor.
  void applyCompletion(const SessionId &Id, const EntrySnapshot &Completion);

  std::size_t sessionCount() const { return Records_.size(); }
  std::size_t storedBytes() const { return StoredBytes_; }

private:
  using RecencyList =
      boost::intrusive::list<SessionRecord,
                             boost::intrusive::constant_time_size<false>>;
  using Records = std::unordered_map<SessionId, SessionRecord>;

  SubmissionEntry *find(const Submission &Request);
  SubmissionDecision decideKnown(SubmissionEntry &Entry,
                                 const Submission &Request);
  SubmissionDecision reopen(SubmissionEntry &Entry, const Submission &Request);
  SessionRecord *insertRecord(const SessionId &Id, base::TimePoint FirstUseEnds,
                              base::TimePoint Now);
  bool ensureCapacity(base::TimePoint Now);
  void storeAnswer(SubmissionEntry &Entry, StoredAnswerPtr Answer);

  SubmissionOwner Self_;
  RegistryLimits Limits_;
  std::uint64_t NextClaim_;
  std::uint64_t ClaimStep_;
  bool Sealed_ = false;
  std::size_t StoredBytes_ = 0;
  EntriesWithAnswers EntriesWithAnswers_;
  RecencyList RecencyList_;
  Records Records_;
};

} // namespace ebony::idempotency

#endif
