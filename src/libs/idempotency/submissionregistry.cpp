#include "idempotency/submissionregistry.h"

#include <algorithm>
#include <utility>

namespace ebony::idempotency {

namespace {

constexpr int MostSessionsTried = 8;

// Only a caller that vouches that no other copy exists may be told "not run" by
// a memory that cannot tell.
SubmissionDecision cannotTell(const Submission &Request, Reason Why) {
  return SubmissionDecision::answer(
      Request.mark().isFirst() ? Outcome::NotRun : Outcome::Unknown, Why);
}

EntrySnapshot fresh(const Submission &Request, SubmissionState State) {
  EntrySnapshot Facts;
  Facts.Counter_ = Request.key().counter();
  Facts.State_ = State;
  Facts.Fingerprint_ = Request.fingerprint();
  Facts.HighestAttempt_ = Request.mark().number();
  return Facts;
}

} // namespace

SubmissionMemory::SubmissionMemory(MemoryHolder Self,
                                   const MemoryLimits &Limits,
                                   std::uint64_t FirstClaim,
                                   std::uint64_t ClaimStep)
    : Self_(std::move(Self)), Limits_(Limits), NextClaim_(FirstClaim),
      ClaimStep_(ClaimStep) {}

SubmissionDecision
SubmissionMemory::arriveInSession(const Submission &Request,
                                  const FirstUseWindow &Window,
                                  base::TimePoint Now) {
  const SessionId Id(Request);
  const auto Found = Records_.find(Id);
  SessionRecord *Record = Found == Records_.end() ? nullptr : &Found->second;
  if (Record != nullptr)
    if (SubmissionEntry *Entry = Record->find(Request.key().counter()))
      return known(*Entry, Request);
  if (Sealed_)
    return cannotTell(Request, Reason::HandingOver);
  if (Record == nullptr) {
    const SessionEpoch Epoch = Request.key().session().epoch();
    if (!Window.accepts(Epoch, Now))
      return cannotTell(Request, Reason::SessionForgotten);
    Record = insert(Id, Window.closing(Epoch), Now);
    if (Record == nullptr)
      return cannotTell(Request, Reason::MemoryFull);
  }
  if (Record->isBelowFloor(Request.key().counter()))
    return cannotTell(Request, Reason::CounterForgotten);
  if (!Record->makeRoom(Limits_.EntriesPerSession_))
    return cannotTell(Request, Reason::MemoryFull);
  // Making room may have raised the floor above this counter.
  if (Record->isBelowFloor(Request.key().counter()))
    return cannotTell(Request, Reason::CounterForgotten);
  Record->insert(fresh(Request, SubmissionState::Running));
  Used_.splice(Used_.end(), Used_, Used_.iterator_to(*Record));
  return SubmissionDecision::run();
}

SubmissionDecision
SubmissionMemory::arriveWithCallerKey(const Submission &Request, bool HeldHere,
                                      base::TimePoint Now) {
  if (SubmissionEntry *Entry = find(Request))
    return known(*Entry, Request);
  if (Sealed_)
    return cannotTell(Request, Reason::HandingOver);
  if (HeldHere)
    return cannotTell(Request, Reason::SessionForgotten);
  SessionRecord *Record = insert(SessionId(Request), Now, Now);
  if (Record == nullptr)
    return cannotTell(Request, Reason::MemoryFull);
  EntrySnapshot Facts = fresh(Request, SubmissionState::Claiming);
  Facts.Claim_ = ClaimRow(Self_, NextClaim_);
  NextClaim_ += ClaimStep_;
  Record->insert(Facts);
  return SubmissionDecision::claim(Facts.Claim_);
}

SubmissionDecision SubmissionMemory::known(SubmissionEntry &Entry,
                                           const Submission &Request) {
  EntrySnapshot &Facts = Entry.facts();
  if (Facts.Fingerprint_ != Request.fingerprint())
    return SubmissionDecision::answer(Outcome::NotRun, Reason::KeyReused);
  switch (Facts.State_) {
  case SubmissionState::Claiming:
  case SubmissionState::Running:
    Facts.HighestAttempt_ =
        std::max(Facts.HighestAttempt_, Request.mark().number());
    return SubmissionDecision::join();
  case SubmissionState::RunningElsewhere:
    return SubmissionDecision::answer(Outcome::Unknown,
                                      Reason::RunningElsewhere);
  case SubmissionState::Complete:
    if (Facts.Answer_ != nullptr)
      return SubmissionDecision::replay(Facts.Answer_);
    return SubmissionDecision::answer(Outcome::Complete, Reason::AnswerNotKept);
  case SubmissionState::Unknown:
    return SubmissionDecision::answer(Outcome::Unknown, Reason::RunEndUnknown);
  case SubmissionState::Unclaimed:
  case SubmissionState::Closed:
    return reopen(Entry, Request);
  }
  return SubmissionDecision::answer(Outcome::Unknown, Reason::RunEndUnknown);
}

// A closed key runs again only for a copy that its caller numbered above all
// those that were told "not run": an older copy may still be on its way.
SubmissionDecision SubmissionMemory::reopen(SubmissionEntry &Entry,
                                            const Submission &Request) {
  EntrySnapshot &Facts = Entry.facts();
  // The successor may have run it since.
  if (Sealed_)
    return cannotTell(Request, Reason::HandingOver);
  if (Facts.State_ == SubmissionState::Unclaimed) {
    Facts.State_ = SubmissionState::Claiming;
    return SubmissionDecision::claim(Facts.Claim_);
  }
  if (Request.mark().number() <= Facts.HighestAttempt_)
    return SubmissionDecision::answer(Outcome::NotRun, Reason::KeyClosed);
  Facts.HighestAttempt_ = Request.mark().number();
  Facts.State_ = SubmissionState::Running;
  return SubmissionDecision::run();
}

void SubmissionMemory::claimLost(const Submission &Request) {
  const SubmissionEntry *Entry = find(Request);
  if (Entry != nullptr && Entry->facts().State_ == SubmissionState::Claiming)
    Records_.erase(SessionId(Request));
}

SubmissionDecision SubmissionMemory::claimHeldHere(const Submission &Request,
                                                   const ClaimRow &Row) {
  SubmissionEntry *Entry = find(Request);
  if (Entry == nullptr)
    return cannotTell(Request, Reason::SessionForgotten);
  EntrySnapshot &Facts = Entry->facts();
  if (Facts.State_ != SubmissionState::Claiming)
    return known(*Entry, Request);
  // The row is of a submission that was forgotten, and it may have run.
  if (Facts.Claim_ != Row) {
    Facts.State_ = SubmissionState::Unknown;
    return known(*Entry, Request);
  }
  if (Sealed_) {
    Facts.State_ = SubmissionState::Unclaimed;
    return cannotTell(Request, Reason::HandingOver);
  }
  Facts.State_ = SubmissionState::Running;
  return SubmissionDecision::run();
}

// Nothing ran here, but the claim may be another VM's: only the caller can know
// that this was the only copy.
SubmissionDecision
SubmissionMemory::claimUnresolved(const Submission &Request) {
  SubmissionEntry *Entry = find(Request);
  if (Entry != nullptr && Entry->facts().State_ == SubmissionState::Claiming)
    Entry->facts().State_ = SubmissionState::Unclaimed;
  return cannotTell(Request, Reason::ClaimUnresolved);
}

std::optional<EntrySnapshot> SubmissionMemory::finish(const Submission &Request,
                                                      Outcome End,
                                                      StoredAnswerPtr Answer) {
  SubmissionEntry *Entry = find(Request);
  if (Entry == nullptr || Entry->facts().State_ != SubmissionState::Running)
    return std::nullopt;
  switch (End) {
  case Outcome::NotRun:
    Entry->facts().State_ = SubmissionState::Closed;
    break;
  case Outcome::Unknown:
    Entry->facts().State_ = SubmissionState::Unknown;
    break;
  case Outcome::Complete:
    Entry->facts().State_ = SubmissionState::Complete;
    keep(*Entry, std::move(Answer));
    break;
  }
  if (!Sealed_)
    return std::nullopt;
  return Entry->facts();
}

std::vector<SessionSnapshot> SubmissionMemory::seal() {
  Sealed_ = true;
  std::vector<SessionSnapshot> All;
  for (const auto &[Id, Record] : Records_) {
    SessionSnapshot Session{Id, Record.floor(), {}};
    for (const auto &[Counter, Entry] : Record.entries())
      Session.Entries_.push_back(Entry.facts());
    All.push_back(std::move(Session));
  }
  return All;
}

void SubmissionMemory::adopt(const SessionSnapshot &Session,
                             base::TimePoint FirstUseEnds) {
  const auto [Found, Inserted] =
      Records_.try_emplace(Session.Id_, FirstUseEnds, Session.Floor_);
  if (Inserted) {
    Found->second.bind(Found->first);
    Used_.push_back(Found->second);
  }
  for (EntrySnapshot Facts : Session.Entries_) {
    if (Facts.State_ == SubmissionState::Running)
      Facts.State_ = SubmissionState::RunningElsewhere;
    if (Facts.State_ == SubmissionState::Claiming)
      Facts.State_ = SubmissionState::Unclaimed;
    // A copy here that asks for its own claim cannot get it, unless the
    // predecessor got none.
    if (const SubmissionEntry *Own = Found->second.find(Facts.Counter_))
      if (Facts.State_ == SubmissionState::Unclaimed ||
          (Own->facts().State_ != SubmissionState::Claiming &&
           Own->facts().State_ != SubmissionState::Unclaimed))
        continue;
    Found->second.erase(Facts.Counter_);
    StoredAnswerPtr Answer = std::exchange(Facts.Answer_, nullptr);
    keep(Found->second.insert(Facts), std::move(Answer));
  }
}

void SubmissionMemory::adoptEnd(const SessionId &Id, const EntrySnapshot &End) {
  const auto Found = Records_.find(Id);
  if (Found == Records_.end())
    return;
  SubmissionEntry *Entry = Found->second.find(End.Counter_);
  if (Entry == nullptr ||
      Entry->facts().State_ != SubmissionState::RunningElsewhere)
    return;
  EntrySnapshot Facts = End;
  StoredAnswerPtr Answer = std::exchange(Facts.Answer_, nullptr);
  Entry->facts() = Facts;
  keep(*Entry, std::move(Answer));
}

SubmissionEntry *SubmissionMemory::find(const Submission &Request) {
  const auto Found = Records_.find(SessionId(Request));
  return Found == Records_.end() ? nullptr
                                 : Found->second.find(Request.key().counter());
}

SessionRecord *SubmissionMemory::insert(const SessionId &Id,
                                        base::TimePoint FirstUseEnds,
                                        base::TimePoint Now) {
  if (!makeRoom(Now))
    return nullptr;
  const auto Found = Records_.try_emplace(Id, FirstUseEnds).first;
  Found->second.bind(Found->first);
  Used_.push_back(Found->second);
  return &Found->second;
}

bool SubmissionMemory::makeRoom(base::TimePoint Now) {
  if (Records_.size() < Limits_.Sessions_)
    return true;
  int Tried = 0;
  for (SessionRecord &Record : Used_) {
    if (++Tried > MostSessionsTried)
      return false;
    if (!Record.isForgettable(Now))
      continue;
    const SessionId Id = Record.id();
    Records_.erase(Id);
    return true;
  }
  return false;
}

void SubmissionMemory::keep(SubmissionEntry &Entry, StoredAnswerPtr Answer) {
  if (Answer == nullptr || Answer->bytes() > Limits_.AnswerBytes_)
    return;
  Entry.keepAnswer(std::move(Answer), StoredBytes_);
  Kept_.push_back(Entry);
  while (StoredBytes_ > Limits_.StoredBytes_)
    Kept_.front().dropAnswer();
}

} // namespace ebony::idempotency
