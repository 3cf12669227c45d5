#include "upstreamstandin/target.h"

#include <algorithm>
#include <utility>

namespace ebony::upstreamstandin {

namespace {

constexpr base::Duration HistorySpan = std::chrono::seconds(10);

std::string ledgerKey(const RunRequest &Request) {
  return Request.Customer_.text() + "/" + Request.Operation_ + "/" +
         Request.Id_.text();
}

} // namespace

Target::Target(const TargetSettings &Settings, base::RandomEngine Random)
    : Settings_(Settings), Random_(Random), History_(HistorySpan) {
  Orders_.ServiceTime_ = Settings.ServiceTime_;
  Orders_.ColdExtra_ = Settings.ColdExtra_;
}

Admission Target::admit(const RunRequest &Request, base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  if (Orders_.Down_)
    return {AdmissionDecision::Down, nullptr};
  if (Orders_.Drain_)
    return {AdmissionDecision::Draining, nullptr};
  if (Random_.chance(Orders_.ShedProbability_))
    return {AdmissionDecision::Shed, nullptr};
  if (InFlight_ >= Settings_.Slots_) {
    ++Ledger_.SlotViolations_;
    return {AdmissionDecision::NoSlot, nullptr};
  }
  ++InFlight_;
  ++Ledger_.Served_;
  Ledger_.MaxInFlight_ = std::max(Ledger_.MaxInFlight_, InFlight_);
  History_.record(Now, InFlight_);
  const Run::Ptr ActiveRun(new Run(Request, Now, drawServiceTime()));
  Running_[Request.Id_] = ActiveRun;
  return {AdmissionDecision::Running, ActiveRun};
}

// Draws uniformly from 0.5 to 1.5 times the mean service time. A cold target
// adds an extra time that falls linearly to zero over its first runs.
base::Duration Target::drawServiceTime() {
  const double Factor = 0.5 + Random_.unit();
  double ServiceTime = base::toSeconds(Orders_.ServiceTime_) * Factor;
  const auto ColdRuns = static_cast<std::uint64_t>(Settings_.ColdRuns_);
  if (RunsSinceCold_ < ColdRuns)
    ServiceTime += base::toSeconds(Orders_.ColdExtra_) *
                   (1.0 - static_cast<double>(RunsSinceCold_) /
                              static_cast<double>(ColdRuns));
  ++RunsSinceCold_;
  return base::fromSeconds(ServiceTime);
}

void Target::recordRun(const RunRequest &Request) {
  if (Request.isIdempotent())
    return;
  const std::lock_guard Guard(Lock_);
  LedgerEntry &Entry = Entries_[ledgerKey(Request)];
  Entry.Request_ = Request;
  ++Entry.Count_;
}

void Target::releaseSlot(const Run &FinishedRun, base::TimePoint Now) {
  const std::lock_guard Guard(Lock_);
  --InFlight_;
  Ledger_.Busy_ += Now - FinishedRun.started();
  History_.record(Now, InFlight_);
  const auto Found = Running_.find(FinishedRun.request().Id_);
  if (Found != Running_.end() && Found->second.get() == &FinishedRun)
    Running_.erase(Found);
}

bool Target::cancel(const base::RequestId &Id) {
  const std::lock_guard Guard(Lock_);
  const auto Found = Running_.find(Id);
  if (Found == Running_.end())
    return false;
  Found->second->cancel();
  return true;
}

int Target::reportedLoad(base::TimePoint Now) const {
  const std::lock_guard Guard(Lock_);
  if (Orders_.LieLoad_)
    return *Orders_.LieLoad_;
  if (Orders_.LagLoad_ > base::Duration::zero())
    return History_.at(Now - Orders_.LagLoad_);
  return InFlight_;
}

standin::HttpAnswer Target::applyAnswerFaults(standin::HttpAnswer Answer) {
  const std::lock_guard Guard(Lock_);
  if (Orders_.CrossAnswers_ && !LastAnswer_.Body_.empty())
    std::swap(Answer, LastAnswer_);
  else
    LastAnswer_ = Answer;
  if (Random_.chance(Orders_.LoseAnswerProbability_))
    Answer.Delivery_ = standin::Delivery::Lost;
  else if (Random_.chance(Orders_.CutAnswerProbability_))
    Answer.Delivery_ = standin::Delivery::Cut;
  return Answer;
}

void Target::recordKeyLeak() {
  const std::lock_guard Guard(Lock_);
  ++Ledger_.KeyLeaks_;
}

TargetOrders Target::orders() const {
  const std::lock_guard Guard(Lock_);
  return Orders_;
}

void Target::setOrders(const TargetOrders &Orders) {
  const std::lock_guard Guard(Lock_);
  // Changing the extra time of cold runs makes the target cold again.
  if (Orders.ColdExtra_ != Orders_.ColdExtra_)
    RunsSinceCold_ = 0;
  Orders_ = Orders;
}

TargetLedger Target::ledger() const {
  const std::lock_guard Guard(Lock_);
  TargetLedger Ledger = Ledger_;
  for (const auto &[Key, Entry] : Entries_)
    Ledger.Runs_.push_back(Entry);
  return Ledger;
}

} // namespace ebony::upstreamstandin
