#include "load/faultinjector.h"

#include <utility>

namespace ebony::load {

FaultInjector::FaultInjector(std::vector<Fault> Faults,
                             const base::Clock &Clock)
    : Faults_(std::move(Faults)), Clock_(Clock),
      Thread_([this, Start = Clock.now()] { injectFaults(Start); }) {}

FaultInjector::~FaultInjector() { finish(); }

base::Findings FaultInjector::finish() {
  {
    const std::lock_guard Guard(Lock_);
    Stopped_ = true;
    Changed_.notify_all();
  }
  if (Thread_.joinable())
    Thread_.join();
  return Problems_;
}

void FaultInjector::injectFaults(base::TimePoint Start) {
  for (const Fault &DueFault : Faults_) {
    if (!waitUntil(Start + DueFault.When_))
      return;
    sendOrders(DueFault);
  }
}

bool FaultInjector::waitUntil(base::TimePoint When) {
  std::unique_lock Guard(Lock_);
  return !Changed_.wait_for(Guard, When - Clock_.now(),
                            [this] { return Stopped_; });
}

void FaultInjector::sendOrders(const Fault &DueFault) {
  constexpr base::Duration Timeout = std::chrono::seconds(5);
  constexpr int NoContent = 204;
  OutgoingRequest Request;
  Request.Method_ = "POST";
  Request.Target_ = "/standin/orders";
  Request.Body_ = DueFault.Orders_;
  Request.Timeout_ = Timeout;
  for (const Endpoint &StandIn : DueFault.Endpoints_) {
    const IncomingAnswer Answer = Caller_.call(StandIn, Request);
    if (Answer.Status_ != NoContent)
      Problems_.emplace_back(StandIn.Address_, "",
                             "Correct the orders " + DueFault.Orders_ + ": " +
                                 Answer.Body_);
  }
}

} // namespace ebony::load
