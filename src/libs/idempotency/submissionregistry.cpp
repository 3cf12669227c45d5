#include "idempotency/submissionregistry.h"

#include <algorithm>
#include <utility>

namespace ebony::idempotency {

namespace {

constexpr int MaxEvictionCandidates = 8;

// Answers a submission whose earlier copies are not known here. Only a caller
// that guarantees that no other copy exists may get "not run".
SubmissionDecision answerUndetermined(const Submission &Request, Reason Why) {
  return SubmissionDecision::answer(
      Request.mark().isFirst() ? Outcome::NotRun : Outcome::Unknown, Why);
}

EntrySnapshot newSnapshot(const Submission &Request, SubmissionState State) {
  EntrySnapshot Snapshot;
  Snapshot.Counter_ = Request.key().counter();
  Snapshot.State_ = State;
  Snapshot.Fingerprint_ = Request.fingerprint();
  Snapshot.HighestAttempt_ = Request.mark().number();
  return Snapshot;
}

} // namespace

SubmissionRegistry::SubmissionRegistry(SubmissionOwner Self,
                                       const RegistryLimits &Limits,
                                       std::uint64_t FirstClaim,
                                       std::uint64_t ClaimStep)
    : Self_(std::move(Self)), Limits_(Limits), NextClaim_(FirstClaim),
      ClaimStep_(ClaimStep) {}

SubmissionDecision
SubmissionRegistry::decideInSession(const Submission &Request,
                                    const FirstUseWindow &Window,
                                    base::TimePoint Now) {
  const SessionId Id(Request);
  const auto Found = Records_.find(Id);
  SessionRecord *Record = Found == Records_.end() ? nullptr : &Found->second;
  if (Record != nullptr)
    if (SubmissionEntry *Entry = Record->find(Request.key().counter()))
      return decideKnown(*Entry, Request);
  if (Sealed_)
    return answerUndetermined(Request, Reason::HandoverInProgress);
  if (Record == nullptr) {
    const SessionEpoch Epoch = Request.key().session().epoch();
    if (!Window.accepts(Epoch, Now))
      return answerUndetermined(Request, Reason::SessionUnknown);
    Record = insert(Id, Window.closingTime(Epoch), Now);
    if (Record == nullptr)
      return answerUndetermined(Request, Reason::RegistryFull);
  }
  if (Record->isBelowFloor(Request.key().counter()))
    return answerUndetermined(Request, Reason::CounterBelowFloor);
  if (!Record->ensureCapacity(Limits_.EntriesPerSession_))
    return answerUndetermined(Request, Reason::RegistryFull);
  // The eviction may have raised the floor above this counter.
  if (Record->isBelowFloor(Request.key().counter()))
    return answerUndetermined(Request, Reason::CounterBelowFloor);
  Record->insert(newSnapshot(Request, SubmissionState::Running));
  RecencyList_.splice(RecencyList_.end(), RecencyList_,
                      RecencyList_.iterator_to(*Record));
  return SubmissionDecision::run();
}

SubmissionDecision
SubmissionRegistry::decideWithCallerKey(const Submission &Request,
                                        bool OwnedHere, base::TimePoint Now) {
  if (SubmissionEntry *Entry = find(Request))
    return decideKnown(*Entry, Request);
  if (Sealed_)
    return answerUndetermined(Request, Reason::HandoverInProgress);
  if (OwnedHere)
    return answerUndetermined(Request, Reason::SessionUnknown);
  SessionRecord *Record = insert(SessionId(Request), Now, Now);
  if (Record == nullptr)
    return answerUndetermined(Request, Reason::RegistryFull);
  EntrySnapshot Snapshot = newSnapshot(Request, SubmissionState::Claiming);
  Snapshot.Claim_ = ClaimRow(Self_, NextClaim_);
  NextClaim_ += ClaimStep_;
  Record->insert(Snapshot);
  return SubmissionDecision::claim(Snapshot.Claim_);
}

SubmissionDecision SubmissionRegistry::decideKnown(SubmissionEntry &Entry,
                                                   const Submission &Request) {
  EntrySnapshot &Snapshot = Entry.snapshot();
  if (Snapshot.Fingerprint_ != Request.fingerprint())
    return SubmissionDecision::answer(Outcome::NotRun, Reason::KeyReused);
  switch (Snapshot.State_) {
  case SubmissionState::Claiming:
  case SubmissionState::Running:
    Snapshot.HighestAttempt_ =
        std::max(Snapshot.HighestAttempt_, Request.mark().number());
    return SubmissionDecision::join();
  case SubmissionState::RunningAtPredecessor:
    return SubmissionDecision::answer(Outcome::Unknown,
                                      Reason::RunningAtPredecessor);
  case SubmissionState::Complete:
    if (Snapshot.Answer_ != nullptr)
      return SubmissionDecision::replay(Snapshot.Answer_);
    return SubmissionDecision::answer(Outcome::Complete,
                                      Reason::AnswerNotStored);
  case SubmissionState::Unknown:
    return SubmissionDecision::answer(Outcome::Unknown,
                                      Reason::RunOutcomeUnknown);
  case SubmissionState::Unclaimed:
  case SubmissionState::Closed:
    return reopen(Entry, Request);
  }
  return SubmissionDecision::answer(Outcome::Unknown,
                                    Reason::RunOutcomeUnknown);
}

// A closed key runs again only for a copy that its caller numbered above all
// those that were told "not run": an older copy may still be on its way.
SubmissionDecision SubmissionRegistry::reopen(SubmissionEntry &Entry,
                                              const Submission &Request) {
  EntrySnapshot &Snapshot = Entry.snapshot();
  // The successor may have run it since.
  if (Sealed_)
    return answerUndetermined(Request, Reason::HandoverInProgress);
  if (Snapshot.State_ == SubmissionState::Unclaimed) {
    Snapshot.State_ = SubmissionState::Claiming;
    return SubmissionDecision::claim(Snapshot.Claim_);
  }
  if (Request.mark().number() <= Snapshot.HighestAttempt_)
    return SubmissionDecision::answer(Outcome::NotRun, Reason::KeyClosed);
  Snapshot.HighestAttempt_ = Request.mark().number();
  Snapshot.State_ = SubmissionState::Running;
  return SubmissionDecision::run();
}

void SubmissionRegistry::dropLostClaim(const Submission &Request) {
  const SubmissionEntry *Entry = find(Request);
  if (Entry != nullptr && Entry->snapshot().State_ == SubmissionState::Claiming)
    Records_.erase(SessionId(Request));
}

SubmissionDecision
SubmissionRegistry::decideClaimOwnedHere(const Submission &Request,
                                         const ClaimRow &Row) {
  SubmissionEntry *Entry = find(Request);
  if (Entry == nullptr)
    return answerUndetermined(Request, Reason::SessionUnknown);
  EntrySnapshot &Snapshot = Entry->snapshot();
  if (Snapshot.State_ != SubmissionState::Claiming)
    return decideKnown(*Entry, Request);
  // The row belongs to a submission that was evicted and may have run.
  if (Snapshot.Claim_ != Row) {
    Snapshot.State_ = SubmissionState::Unknown;
    return decideKnown(*Entry, Request);
  }
  if (Sealed_) {
    Snapshot.State_ = SubmissionState::Unclaimed;
    return answerUndetermined(Request, Reason::HandoverInProgress);
  }
  Snapshot.State_ = SubmissionState::Running;
  return SubmissionDecision::run();
}

// This VM has not run the submission, but another VM may own the claim. Only
// the caller can know that this was the only copy.
SubmissionDecision
SubmissionRegistry::decideUnresolvedClaim(const Submission &Request) {
  SubmissionEntry *Entry = find(Request);
  if (Entry != nullptr && Entry->snapshot().State_ == SubmissionState::Claiming)
    Entry->snapshot().State_ = SubmissionState::Unclaimed;
  return answerUndetermined(Request, Reason::ClaimUnresolved);
}

std::optional<EntrySnapshot>
SubmissionRegistry::finishRun(const Submission &Request, Outcome RunOutcome,
                              StoredAnswerPtr Answer) {
  SubmissionEntry *Entry = find(Request);
  if (Entry == nullptr || Entry->snapshot().State_ != SubmissionState::Running)
    return std::nullopt;
  switch (RunOutcome) {
  case Outcome::NotRun:
    Entry->snapshot().State_ = SubmissionState::Closed;
    break;
  case Outcome::Unknown:
    Entry->snapshot().State_ = SubmissionState::Unknown;
    break;
  case Outcome::Complete:
    Entry->snapshot().State_ = SubmissionState::Complete;
    storeAnswer(*Entry, std::move(Answer));
    break;
  }
  if (!Sealed_)
    return std::nullopt;
  return Entry->snapshot();
}

std::vector<SessionSnapshot> SubmissionRegistry::seal() {
  Sealed_ = true;
  std::vector<SessionSnapshot> All;
  for (const auto &[Id, Record] : Records_) {
    SessionSnapshot Session{Id, Record.floor(), {}};
    for (const auto &[Counter, Entry] : Record.entries())
      Session.Entries_.push_back(Entry.snapshot());
    All.push_back(std::move(Session));
  }
  return All;
}

void SubmissionRegistry::importSession(const SessionSnapshot &Session,
                                       base::TimePoint FirstUseEnds) {
  const auto [Found, Inserted] =
      Records_.try_emplace(Session.Id_, FirstUseEnds, Session.Floor_);
  if (Inserted) {
    Found->second.setId(Found->first);
    RecencyList_.push_back(Found->second);
  }
  for (EntrySnapshot Snapshot : Session.Entries_) {
    if (Snapshot.State_ == SubmissionState::Running)
      Snapshot.State_ = SubmissionState::RunningAtPredecessor;
    if (Snapshot.State_ == SubmissionState::Claiming)
      Snapshot.State_ = SubmissionState::Unclaimed;
    // A local entry whose own claim is pending cannot get it, unless the
    // predecessor got none.
    if (const SubmissionEntry *Own = Found->second.find(Snapshot.Counter_))
      if (Snapshot.State_ == SubmissionState::Unclaimed ||
          (Own->snapshot().State_ != SubmissionState::Claiming &&
           Own->snapshot().State_ != SubmissionState::Unclaimed))
        continue;
    Found->second.erase(Snapshot.Counter_);
    StoredAnswerPtr Answer = std::exchange(Snapshot.Answer_, nullptr);
    storeAnswer(Found->second.insert(Snapshot), std::move(Answer));
  }
}

void SubmissionRegistry::applyCompletion(const SessionId &Id,
                                         const EntrySnapshot &Completion) {
  const auto Found = Records_.find(Id);
  if (Found == Records_.end())
    return;
  SubmissionEntry *Entry = Found->second.find(Completion.Counter_);
  if (Entry == nullptr ||
      Entry->snapshot().State_ != SubmissionState::RunningAtPredecessor)
    return;
  EntrySnapshot Snapshot = Completion;
  StoredAnswerPtr Answer = std::exchange(Snapshot.Answer_, nullptr);
  Entry->snapshot() = Snapshot;
  storeAnswer(*Entry, std::move(Answer));
}

SubmissionEntry *SubmissionRegistry::find(const Submission &Request) {
  const auto Found = Records_.find(SessionId(Request));
  return Found == Records_.end() ? nullptr
                                 : Found->second.find(Request.key().counter());
}

SessionRecord *SubmissionRegistry::insert(const SessionId &Id,
                                          base::TimePoint FirstUseEnds,
                                          base::TimePoint Now) {
  if (!ensureCapacity(Now))
    return nullptr;
  const auto Found = Records_.try_emplace(Id, FirstUseEnds).first;
  Found->second.setId(Found->first);
  RecencyList_.push_back(Found->second);
  return &Found->second;
}

bool SubmissionRegistry::ensureCapacity(base::TimePoint Now) {
  if (Records_.size() < Limits_.Sessions_)
    return true;
  int Examined = 0;
  for (SessionRecord &Record : RecencyList_) {
    if (++Examined > MaxEvictionCandidates)
      return false;
    if (!Record.isEvictable(Now))
      continue;
    const SessionId Id = Record.id();
    Records_.erase(Id);
    return true;
  }
  return false;
}

void SubmissionRegistry::storeAnswer(SubmissionEntry &Entry,
                                     StoredAnswerPtr Answer) {
  if (Answer == nullptr || Answer->bytes() > Limits_.AnswerBytes_)
    return;
  Entry.setAnswer(std::move(Answer), StoredBytes_);
  EntriesWithAnswers_.push_back(Entry);
  while (StoredBytes_ > Limits_.StoredBytes_)
    EntriesWithAnswers_.front().discardAnswer();
}

} // namespace ebony::idempotency
