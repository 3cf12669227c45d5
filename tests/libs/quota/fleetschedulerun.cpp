#include "libs/quota/fleetschedule.h"

#include <algorithm>

namespace ebony::quota::tests {

void FleetSchedule::refillFleetTokens() {
  // A VM with older limits still applies them, so the highest limits in force
  // apply to the fleet.
  Tokens Rate = 0;
  Tokens Burst = 0;
  for (const VmState &Vm : Vms_)
    if (Vm.Ledger_) {
      Rate = std::max(Rate, Vm.Ledger_->limits().rate());
      Burst = std::max(Burst, Vm.Ledger_->limits().burst());
    }
  const double Seconds = double(NowMicros_ - FleetRefilledMicros_) / 1e6;
  FleetTokens_ = std::min(FleetTokens_ + double(Rate) * Seconds, double(Burst));
  FleetRefilledMicros_ = NowMicros_;
}

std::string FleetSchedule::findViolation() {
  constexpr double RoundingTokens = 100;
  if (FleetTokens_ < -RoundingTokens)
    return "a window admitted more than burst + rate * w";
  QuotaShare Sum;
  std::vector<QuotaHolding> OwnedByZone(Rows_.size());
  for (const VmState &Vm : Vms_) {
    if (!Vm.Ledger_)
      continue;
    const QuotaHolding Holding = Vm.Ledger_->owned();
    Sum = Sum + Vm.Ledger_->usable(clockOf(Vm));
    OwnedByZone[zoneOf(Vm)] = OwnedByZone[zoneOf(Vm)] + Holding;
    for (const QuotaShare Part : {Holding.floor(), Holding.lendable()})
      if (Part.rateParts() < 0 || Part.burstParts() < 0)
        return "a VM owns a negative number of parts";
  }
  if (Sum.rateParts() > WholeParts || Sum.burstParts() > WholeParts)
    return "the usable parts of all VMs exceed the quota";
  const QuotaHolding Whole = Rows_[0].Allotment_.total();
  for (const QuotaHolding &Zone : OwnedByZone)
    if (Zone.floor().rateParts() > Whole.floor().rateParts() ||
        Zone.total().rateParts() > Whole.total().rateParts())
      return "a zone owns more than its share";
  return {};
}

std::string FleetSchedule::run(int Steps) {
  static constexpr void (FleetSchedule::*Actions[])() = {
      &FleetSchedule::admitSome,     &FleetSchedule::transferSome,
      &FleetSchedule::requestLoan,   &FleetSchedule::renewLoan,
      &FleetSchedule::requestLoan,   &FleetSchedule::returnLoan,
      &FleetSchedule::deliver,       &FleetSchedule::deliver,
      &FleetSchedule::deliver,       &FleetSchedule::deliver,
      &FleetSchedule::readRow,       &FleetSchedule::readRow,
      &FleetSchedule::readRow,       &FleetSchedule::claimDeparted,
      &FleetSchedule::claimDeparted, &FleetSchedule::settle,
      &FleetSchedule::settle,        &FleetSchedule::drainAll,
      &FleetSchedule::stopOrCrash,   &FleetSchedule::changeLimits,
      &FleetSchedule::toggleFault,
  };
  for (int Step = 0; Step < Steps; ++Step) {
    advanceTime();
    refillFleetTokens();
    (this->*Actions[Random_.below(std::size(Actions))])();
    if (const std::string Violation = findViolation(); !Violation.empty())
      return Violation + " at step " + std::to_string(Step);
  }
  return {};
}

} // namespace ebony::quota::tests
