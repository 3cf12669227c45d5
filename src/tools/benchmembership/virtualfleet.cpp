#include "benchmembership/virtualfleet.h"

#include "benchmembership/encodedsize.h"

#include <string>
#include <utility>

namespace ebony::benchmembership {

using namespace membership;

namespace {

constexpr base::Duration Step = std::chrono::milliseconds(50);
constexpr base::Duration Minute = std::chrono::minutes(1);
constexpr base::Incarnation FirstIncarnation = 1'764'000'000'000'000;
constexpr std::size_t ZonesPerOctet = 200;

// The addresses are as long as real ones, so that message sizes are realistic.
base::VmAddress addressOf(std::size_t Zone, std::size_t Vm) {
  return base::VmAddress("10." + std::to_string(Zone + 20) + "." +
                         std::to_string(Vm / ZonesPerOctet) + "." +
                         std::to_string(Vm % ZonesPerOctet + 1));
}

} // namespace

VirtualFleet::VirtualFleet(const SimulationSettings &Simulation,
                           const MembershipSettings &Settings,
                           std::uint64_t Seed)
    : Simulation_(Simulation), Settings_(Settings), Random_(Seed),
      Now_(std::chrono::seconds(1000)) {
  for (std::size_t Zone = 0; Zone < Simulation.Zones_; ++Zone)
    for (std::size_t Vm = 0; Vm < Simulation.VmsPerZone_; ++Vm)
      Nodes_.emplace(addressOf(Zone, Vm), Node());
  PlatformList_ = fullPlatformList();
  for (const Address &Vm : addresses())
    start(Vm);
}

base::ZoneName VirtualFleet::zoneOf(const Address &Vm) {
  const std::string &Text = Vm.text();
  return base::ZoneName("zone-" + Text.substr(3, Text.find('.', 3) - 3));
}

std::vector<base::VmAddress> VirtualFleet::addresses() const {
  std::vector<Address> Addresses;
  for (const auto &[Vm, State] : Nodes_)
    Addresses.push_back(Vm);
  return Addresses;
}

PlatformList VirtualFleet::fullPlatformList() const {
  PlatformList List;
  for (const Address &Vm : addresses())
    List.push_back({.Address_ = Vm, .Zone_ = zoneOf(Vm)});
  return List;
}

void VirtualFleet::publishPlatformList(const PlatformList &Listed) {
  PlatformList_ = Listed;
  for (auto &[Vm, State] : Nodes_)
    if (State.Vm_)
      State.Vm_->applyPlatformList(Listed);
}

bool VirtualFleet::isUp(const Address &Vm) const {
  return Nodes_.at(Vm).Vm_ != nullptr;
}

bool VirtualFleet::isPaused(const Address &Vm) const {
  return Nodes_.at(Vm).PausedUntil_ > Now_;
}

Membership &VirtualFleet::vm(const Address &Vm) { return *Nodes_.at(Vm).Vm_; }

void VirtualFleet::crash(const Address &Vm) { Nodes_.at(Vm).Vm_.reset(); }

void VirtualFleet::start(const Address &Vm) {
  Node &State = Nodes_.at(Vm);
  const auto Offset = (Now_.time_since_epoch().count() << 8) +
                      static_cast<base::Incarnation>(Random_.below(256));
  State.Incarnation_ = FirstIncarnation + Offset;
  State.PausedUntil_ = base::TimePoint();
  State.Vm_ = std::make_unique<Membership>(
      base::VmIdentity(Vm, State.Incarnation_, zoneOf(Vm)), Settings_,
      base::RandomEngine(Random_()));
  State.Vm_->applyPlatformList(PlatformList_);
}

void VirtualFleet::pause(const Address &Vm, base::Duration Span) {
  Nodes_.at(Vm).PausedUntil_ = Now_ + Span;
}

void VirtualFleet::cutZone(const base::ZoneName &Zone, bool IsCut) {
  if (IsCut)
    CutZones_.insert(Zone);
  else
    CutZones_.erase(Zone);
}

void VirtualFleet::cutVm(const Address &Vm, bool IsCut) {
  if (IsCut)
    CutVms_.insert(Vm);
  else
    CutVms_.erase(Vm);
}

bool VirtualFleet::isCut(const Address &From, const Address &To) const {
  if (CutVms_.contains(From) || CutVms_.contains(To))
    return true;
  const base::ZoneName FromZone = zoneOf(From);
  const base::ZoneName ToZone = zoneOf(To);
  return FromZone != ToZone &&
         (CutZones_.contains(FromZone) || CutZones_.contains(ToZone));
}

void VirtualFleet::send(const Address &From, const Address &To,
                        std::size_t Bytes,
                        std::function<void(Node &)> Deliver) {
  ++Messages_;
  Bytes_ += Bytes;
  BytesOf_[From] += Bytes;
  const auto Receiver = Nodes_.find(To);
  if (Receiver == Nodes_.end() || isCut(From, To) ||
      Random_.chance(Simulation_.LossEachWay_))
    return;
  BytesOf_[To] += Bytes;
  const base::Duration Delay(Random_.below(
      static_cast<std::uint64_t>(Simulation_.LongestDelay_.count()) + 1));
  Events_.emplace(Now_ + Delay,
                  Event{.To_ = To,
                        .Incarnation_ = Receiver->second.Incarnation_,
                        .Deliver_ = std::move(Deliver)});
}

void VirtualFleet::sendPull(const Address &From, const Pull &DuePull) {
  const Address To = DuePull.Target_;
  const HeartbeatRequest Request = DuePull.Request_;
  send(From, To, encodedSize(Request), [=, this](Node &Receiver) {
    const HeartbeatReply Reply = Receiver.Vm_->answer(Now_, Request);
    send(To, From, encodedSize(Reply),
         [=, this](Node &Sender) { Sender.Vm_->applyReply(Now_, To, Reply); });
  });
}

// A paused process receives its messages when it resumes.
void VirtualFleet::deliverDueMessages() {
  while (!Events_.empty() && Events_.begin()->first <= Now_) {
    Event Message = Events_.extract(Events_.begin()).mapped();
    Node &Receiver = Nodes_.at(Message.To_);
    if (!Receiver.Vm_ || Receiver.Incarnation_ != Message.Incarnation_)
      continue;
    if (Receiver.PausedUntil_ > Now_)
      Events_.emplace(Receiver.PausedUntil_, std::move(Message));
    else
      Message.Deliver_(Receiver);
  }
}

void VirtualFleet::tickAll() {
  for (auto &[Vm, State] : Nodes_) {
    if (!State.Vm_ || State.PausedUntil_ > Now_)
      continue;
    for (const Pull &DuePull : State.Vm_->tick(Now_))
      sendPull(Vm, DuePull);
  }
}

void VirtualFleet::startRandomPauses() {
  const double Chance = Simulation_.PausesPerMinute_ * base::toSeconds(Step) /
                        base::toSeconds(Minute);
  if (Chance <= 0)
    return;
  for (auto &[Vm, State] : Nodes_)
    if (State.PausedUntil_ <= Now_ && Random_.chance(Chance))
      pause(Vm, base::Duration(Random_.below(static_cast<std::uint64_t>(
                    Simulation_.LongestPause_.count()))));
}

void VirtualFleet::run(base::Duration Span,
                       const std::function<void()> &AfterStep) {
  const base::TimePoint End = Now_ + Span;
  while (Now_ < End) {
    Now_ += Step;
    startRandomPauses();
    deliverDueMessages();
    tickAll();
    AfterStep();
  }
}

} // namespace ebony::benchmembership
