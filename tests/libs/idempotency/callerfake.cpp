#include "libs/idempotency/callerfake.h"

#include "libs/idempotency/fleetfake.h"

#include <utility>

namespace ebony::tests {

using namespace idempotency;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MaxOperations = 12;
constexpr std::uint32_t MaxAttempts = 5;
constexpr base::Duration CallerTimeout = 450ms;

} // namespace

Tally &Tally::operator+=(const Tally &Other) {
  Operations_ += Other.Operations_;
  Complete_ += Other.Complete_;
  NotRun_ += Other.NotRun_;
  Unknown_ += Other.Unknown_;
  RunTwice_ += Other.RunTwice_;
  FalseNotRun_ += Other.FalseNotRun_;
  WrongAnswers_ += Other.WrongAnswers_;
  return *this;
}

void CallerFake::start() {
  Session_ = Fleet_.lookUp();
  startNextOperation();
}

void CallerFake::startNextOperation() {
  if (Operations_.size() == MaxOperations)
    return;
  const std::size_t Index = Operations_.size();
  // Resubmits an old key long after its answer was received.
  if (Rates_.UnusualKeys_ && Index > 0 && Kind_ != 4 && Random_.chance(0.3)) {
    const std::size_t Old = Random_.below(Index);
    if (!Operations_[Old].ToldNotRun_)
      Fleet_.events().after(std::chrono::milliseconds(Random_.below(1500)),
                            [=, this] { submit(Old); });
  }
  if (std::exchange(NeedsLookUp_, false) || Random_.chance(0.3)) {
    Session_ = Fleet_.lookUp();
    Counter_ = 0;
  }
  const std::string Name = std::to_string(Kind_) + "." + std::to_string(Index);
  Operations_.push_back({Name, newKey(Name)});
  Fleet_.events().after(std::chrono::milliseconds(Random_.below(150)),
                        [=, this] { submit(Index); });
}

IdempotencyKey CallerFake::newKey(const std::string &Name) {
  if (Kind_ == 4)
    return {};
  if (Kind_ >= 2)
    return IdempotencyKey::parse("own-" + Name).value();
  // Some counters are out of order.
  Counter_ += Random_.below(3) + 1;
  const std::uint64_t Counter =
      Rates_.UnusualKeys_ && Random_.chance(0.1) ? 1000 - Counter_ : Counter_;
  return {Session_, Counter};
}

void CallerFake::submit(std::size_t Index) {
  Operation &Current = Operations_[Index];
  if (Current.Attempts_ == MaxAttempts)
    return;
  ++Current.Attempts_;
  Current.ToldNotRun_ = false;
  const AttemptMark Mark =
      isNumbered() ? AttemptMark(Current.Attempts_) : AttemptMark();
  const int RepliesBefore = Current.RepliesRead_;
  const auto Attempt = Current.Attempts_;
  // A caller ignores the answer to an attempt that it has given up.
  Fleet_.submit({Submission(base::CustomerName("bank"), Current.Key_, Mark, 7),
                 Current.Name_, [=, this](const Reply &Answer) {
                   if (Operations_[Index].Attempts_ == Attempt &&
                       Operations_[Index].RepliesRead_ == RepliesBefore)
                     receiveReply(Index, Answer);
                 }});
  Fleet_.events().after(CallerTimeout,
                        [=, this] { handleTimeout(Index, RepliesBefore); });
}

void CallerFake::handleTimeout(std::size_t Index, int RepliesBefore) {
  Operation &Current = Operations_[Index];
  if (Current.RepliesRead_ != RepliesBefore)
    return;
  if (Kind_ != 4 && Current.Attempts_ < MaxAttempts)
    return submit(Index);
  ++Current.RepliesRead_;
  if (Current.LastOutcome_ != Outcome::Complete)
    Current.LastOutcome_ = Outcome::Unknown;
  if (Index + 1 == Operations_.size())
    startNextOperation();
}

void CallerFake::receiveReply(std::size_t Index, const Reply &Answer) {
  Operation &Current = Operations_[Index];
  ++Current.RepliesRead_;
  if (Current.LastOutcome_ != Outcome::Complete)
    Current.LastOutcome_ = Answer.Outcome_;
  NeedsLookUp_ |= Answer.Reason_ == Reason::OwnerGone ||
                  Answer.Reason_ == Reason::NotOwner ||
                  Answer.Reason_ == Reason::SessionUnknown;
  const int Runs = Fleet_.upstream().runs(Current.Name_);
  if (Answer.Outcome_ == Outcome::Complete) {
    const bool HasBody = Answer.Reason_ != Reason::AnswerNotStored;
    if (Runs == 0 ||
        (HasBody && Answer.Body_ != UpstreamFake::answerFor(Current.Name_)))
      ++Tally_.WrongAnswers_;
  }
  if (Answer.Outcome_ == Outcome::NotRun) {
    Tally_.FalseNotRun_ += Runs > 0 ? 1 : 0;
    Current.ToldNotRun_ = true;
  }
  const bool Resubmit = Answer.Outcome_ == Outcome::NotRun
                            ? isNumbered() && Random_.chance(0.4)
                            : Answer.Outcome_ == Outcome::Unknown &&
                                  Random_.chance(0.5) && Kind_ != 4;
  if (Resubmit)
    submit(Index);
  else if (Index + 1 == Operations_.size())
    startNextOperation();
}

Tally CallerFake::finalTally() {
  for (const Operation &Current : Operations_) {
    const int Runs = Fleet_.upstream().runs(Current.Name_);
    ++Tally_.Operations_;
    Tally_.RunTwice_ += Runs > 1 ? 1 : 0;
    Tally_.FalseNotRun_ += Current.ToldNotRun_ && Runs > 0 ? 1 : 0;
    Tally_.Complete_ += Current.LastOutcome_ == Outcome::Complete ? 1 : 0;
    Tally_.NotRun_ += Current.LastOutcome_ == Outcome::NotRun ? 1 : 0;
    Tally_.Unknown_ += Current.LastOutcome_ == Outcome::Unknown ? 1 : 0;
  }
  return Tally_;
}

} // namespace ebony::tests
