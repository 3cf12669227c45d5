#include "libs/idempotency/upstreamfake.h"

namespace ebony::tests {

using namespace std::chrono_literals;

base::Duration UpstreamFake::delay(int MaxMillis) {
  return std::chrono::milliseconds(
      1 + Random_.below(static_cast<std::uint64_t>(MaxMillis)));
}

int UpstreamFake::runs(const std::string &Operation) const {
  const auto Found = RunCounts_.find(Operation);
  return Found == RunCounts_.end() ? 0 : Found->second;
}

void UpstreamFake::send(const base::RequestId &Id, const std::string &Operation,
                        const Reply &Done) {
  enum Fault { Refuse, NoConnect, CrashBefore, CrashAfter, Cut, Crossed, Late };
  constexpr int FaultKinds = 7;
  const bool Faulty = Random_.chance(Rates_.Upstream_);
  const int Kind = Faulty ? static_cast<int>(Random_.below(FaultKinds)) : -1;
  Exchange Failure;
  if (Kind == NoConnect || Kind == Refuse || Kind == CrashBefore) {
    Failure.Connected_ = Kind != NoConnect;
    Failure.Refused_ = Kind == Refuse;
    Failure.Closed_ = true;
    Events_.after(delay(10), [=] { Done(Failure); });
    return;
  }
  Events_.after(delay(20), [=, this] {
    ++RunCounts_[Operation];
    Exchange Answer;
    Answer.Answered_ = Id;
    Answer.Body_ = answerFor(Operation);
    Answer.AnnouncedBytes_ = Answer.Body_.size();
    if (Kind == CrashAfter)
      Answer.Answered_ = base::RequestId();
    if (Kind == Cut)
      Answer.Body_.resize(Answer.Body_.size() / 2);
    if (Kind == Crossed && !PreviousRequest_.isEmpty()) {
      Answer.Answered_ = PreviousRequest_;
      Answer.Body_ = PreviousBody_;
      Answer.AnnouncedBytes_ = PreviousBody_.size();
    }
    Answer.Closed_ = Kind == CrashAfter || Kind == Cut;
    PreviousRequest_ = Id;
    PreviousBody_ = answerFor(Operation);
    Events_.after(Kind == Late ? 900ms : delay(20), [=] { Done(Answer); });
  });
}

} // namespace ebony::tests
