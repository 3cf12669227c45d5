#include "benchquota/escrowscheme.h"

#include "quota/zoneallotment.h"

#include <string>

namespace ebony::benchquota {

namespace {

constexpr quota::LoanTerms Terms(std::chrono::seconds(5), 500,
                                 std::chrono::milliseconds(50));
constexpr std::size_t MessageBytes = 96;

base::VmIdentity identity(std::size_t VmIndex) {
  return {base::VmAddress(std::to_string(VmIndex)), 1,
          base::ZoneName(std::to_string(FleetLayout::zoneOf(VmIndex)))};
}

quota::QuotaLedger ledger(std::size_t VmIndex, quota::QuotaLimits Limits,
                          std::int64_t FloorPercent) {
  const auto Zone =
      quota::ZoneAllotment::initial(FleetLayout::Zones, FloorPercent);
  return {identity(VmIndex),
          base::CustomerName("customer"),
          Limits,
          Terms,
          Zone.free().dividedBy(FleetLayout::VmsPerZone),
          base::TimePoint()};
}

} // namespace

EscrowScheme::EscrowScheme(Network &Net, quota::QuotaLimits Limits,
                           quota::ExchangePolicy Policy,
                           std::int64_t FloorPercent)
    : Net_(Net), Policy_(Policy) {
  for (std::size_t Index = 0; Index < FleetLayout::Vms; ++Index) {
    Vms_.push_back({quota::QuotaExchange(ledger(Index, Limits, FloorPercent),
                                         Policy, base::TimePoint()),
                    {}});
    std::vector<quota::QuotaPeer> Peers;
    for (std::size_t Peer = 0; Peer < FleetLayout::Vms; ++Peer)
      if (Peer != Index)
        Peers.emplace_back(identity(Peer),
                           FleetLayout::latency(Index, Peer) * 2);
    Vms_.back().Exchange_.setPeers(Peers);
  }
}

void EscrowScheme::send(const std::vector<quota::QuotaMessage> &Messages) {
  for (const quota::QuotaMessage &Message : Messages) {
    const std::size_t From =
        std::stoul(quota::routeOf(Message).from().address().text());
    const std::size_t To =
        std::stoul(quota::routeOf(Message).to().address().text());
    Net_.send(From, To, MessageBytes, [this, To, Message](base::TimePoint Now) {
      VmState &Receiver = Vms_[To];
      send(Receiver.Exchange_.receive(Message, Now));
      serveQueue(Receiver, Now);
      send(Receiver.Exchange_.poll(Now));
    });
  }
}

void EscrowScheme::serveQueue(VmState &Vm, base::TimePoint Now) {
  while (!Vm.Queue_.empty()) {
    const auto Decision = Vm.Exchange_.retry(Now);
    const bool HasTimedOut =
        Now - Vm.Queue_.front().QueuedAt_ >= Policy_.MaxWait_;
    if (Decision == quota::QuotaVerdict::Wait && !HasTimedOut)
      return;
    if (Decision == quota::QuotaVerdict::Wait)
      Vm.Exchange_.cancelWait();
    const QueuedRequest First = std::move(Vm.Queue_.front());
    Vm.Queue_.pop_front();
    First.OnDecision_(Decision == quota::QuotaVerdict::Admit, Now);
  }
}

void EscrowScheme::submit(std::size_t VmIndex, base::TimePoint Now,
                          DecisionHandler OnDecision) {
  auto &Vm = Vms_[VmIndex];
  serveQueue(Vm, Now);
  const auto Decision = Vm.Exchange_.admit(Now);
  if (Decision == quota::QuotaVerdict::Wait)
    Vm.Queue_.push_back({Now, std::move(OnDecision)});
  else
    OnDecision(Decision == quota::QuotaVerdict::Admit, Now);
  send(Vm.Exchange_.poll(Now));
}

void EscrowScheme::tick(base::TimePoint Now) {
  for (VmState &Vm : Vms_) {
    serveQueue(Vm, Now);
    send(Vm.Exchange_.poll(Now));
  }
}

} // namespace ebony::benchquota
