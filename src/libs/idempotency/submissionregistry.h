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

/// One shard of the state of the submissions that a VM incarnation owns. Not
/// thread-safe.
class SubmissionRegistry {
public:
  /// The claims that this shard makes for \p Self are numbered from
  /// \p FirstClaim in steps of \p ClaimStep, so that no two shards use the same
  /// number.
  SubmissionRegistry(SubmissionOwner Self, const RegistryLimits &Limits,
                     std::uint64_t FirstClaim, std::uint64_t ClaimStep);

  /// Decides about a submission in a session that this VM owns.
  SubmissionDecision decideInSession(const Submission &Request,
                                     const FirstUseWindow &Window,
                                     base::TimePoint Now);

  /// Decides about a submission with a caller-made key. \p OwnedHere is true if
  /// a VM has read that this VM owns the claim.
  SubmissionDecision decideWithCallerKey(const Submission &Request,
                                         bool OwnedHere, base::TimePoint Now);

  /// Erases the entry of a submission whose claim another VM owns.
  void dropLostClaim(const Submission &Request);

  /// Decides about a submission whose claim this VM owns by \p Row. The row was
  /// inserted for this submission or for one that has been evicted.
  SubmissionDecision decideClaimOwnedHere(const Submission &Request,
                                          const ClaimRow &Row);

  /// Decides about a submission whose claim was not resolved in time.
  SubmissionDecision decideUnresolvedClaim(const Submission &Request);

  /// Records the result of a run. If the registry was sealed for a handover in
  /// the meantime, returns the entry for the successor, otherwise std::nullopt.
  std::optional<EntrySnapshot> finishRun(const Submission &Request,
                                         Outcome RunOutcome,
                                         StoredAnswerPtr Answer);

  /// Stops new runs and returns the state of all sessions.
  std::vector<SessionSnapshot> seal();

  /// Imports a session of a predecessor; \p FirstUseEnds as in SessionRecord.
  void importSession(const SessionSnapshot &Session,
                     base::TimePoint FirstUseEnds);

  /// Applies the result of a run that finished at the predecessor.
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
  SessionRecord *insert(const SessionId &Id, base::TimePoint FirstUseEnds,
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
