#include "libs/idempotency/callerfake.h"

#include "libs/idempotency/fleetfake.h"

#include <utility>

namespace ebony::tests {

using namespace idempotency;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MostOperations = 12;
constexpr std::uint32_t MostAttempts = 5;
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

void CallerFake::begin() {
  Session_ = Fleet_.lookUp();
  next();
}

void CallerFake::next() {
  if (Operations_.size() == MostOperations)
    return;
  const std::size_t Index = Operations_.size();
  // An old key again, long after its answer was read.
  if (Rates_.StrangeKeys_ && Index > 0 && Kind_ != 4 && Random_.chance(0.3)) {
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
  // Some counters come out of order.
  Counter_ += Random_.below(3) + 1;
  const std::uint64_t Counter =
      Rates_.StrangeKeys_ && Random_.chance(0.1) ? 1000 - Counter_ : Counter_;
  return {Session_, Counter};
}

void CallerFake::submit(std::size_t Index) {
  Operation &One = Operations_[Index];
  if (One.Attempts_ == MostAttempts)
    return;
  ++One.Attempts_;
  One.ToldNotRun_ = false;
  const AttemptNumber Number =
      isNumbered() ? AttemptNumber(One.Attempts_) : AttemptNumber();
  const int Seen = One.Read_;
  const auto Attempt = One.Attempts_;
  // A caller reads no answer to a submission that it gave up.
  Fleet_.submit({Submission(base::CustomerName("bank"), One.Key_, Number, 7),
                 One.Name_, [=, this](const Reply &Answer) {
                   if (Operations_[Index].Attempts_ == Attempt &&
                       Operations_[Index].Read_ == Seen)
                     read(Index, Answer);
                 }});
  Fleet_.events().after(CallerTimeout, [=, this] { timedOut(Index, Seen); });
}

void CallerFake::timedOut(std::size_t Index, int Seen) {
  Operation &One = Operations_[Index];
  if (One.Read_ != Seen)
    return;
  if (Kind_ != 4 && One.Attempts_ < MostAttempts)
    return submit(Index);
  ++One.Read_;
  if (One.Last_ != Outcome::Complete)
    One.Last_ = Outcome::Unknown;
  if (Index + 1 == Operations_.size())
    next();
}

void CallerFake::read(std::size_t Index, const Reply &Answer) {
  Operation &One = Operations_[Index];
  ++One.Read_;
  if (One.Last_ != Outcome::Complete)
    One.Last_ = Answer.Outcome_;
  NeedsLookUp_ |= Answer.Reason_ == Reason::OwnerGone ||
                  Answer.Reason_ == Reason::NotOwner ||
                  Answer.Reason_ == Reason::SessionUnknown;
  const int Runs = Fleet_.upstream().runs(One.Name_);
  if (Answer.Outcome_ == Outcome::Complete) {
    const bool Kept = Answer.Reason_ != Reason::AnswerNotStored;
    if (Runs == 0 ||
        (Kept && Answer.Body_ != UpstreamFake::answerTo(One.Name_)))
      ++Tally_.WrongAnswers_;
  }
  if (Answer.Outcome_ == Outcome::NotRun) {
    Tally_.FalseNotRun_ += Runs > 0 ? 1 : 0;
    One.ToldNotRun_ = true;
  }
  const bool Again = Answer.Outcome_ == Outcome::NotRun
                         ? isNumbered() && Random_.chance(0.4)
                         : Answer.Outcome_ == Outcome::Unknown &&
                               Random_.chance(0.5) && Kind_ != 4;
  if (Again)
    submit(Index);
  else if (Index + 1 == Operations_.size())
    next();
}

Tally CallerFake::judge() {
  for (const Operation &One : Operations_) {
    const int Runs = Fleet_.upstream().runs(One.Name_);
    ++Tally_.Operations_;
    Tally_.RunTwice_ += Runs > 1 ? 1 : 0;
    Tally_.FalseNotRun_ += One.ToldNotRun_ && Runs > 0 ? 1 : 0;
    Tally_.Complete_ += One.Last_ == Outcome::Complete ? 1 : 0;
    Tally_.NotRun_ += One.Last_ == Outcome::NotRun ? 1 : 0;
    Tally_.Unknown_ += One.Last_ == Outcome::Unknown ? 1 : 0;
  }
  return Tally_;
}

} // namespace ebony::tests
