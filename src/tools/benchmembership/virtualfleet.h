#ifndef EBONY_BENCHMEMBERSHIP_VIRTUALFLEET_H
#define EBONY_BENCHMEMBERSHIP_VIRTUALFLEET_H

#include "benchmembership/simulationsettings.h"
#include "membership/membership.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace ebony::benchmembership {

/// Simulates many Membership objects in one process and in virtual time. Calls
/// between them can be lost or delayed, the network can be cut, and a paused
/// receiver reads its messages later.
class VirtualFleet {
public:
  using Address = base::VmAddress;

  VirtualFleet(const SimulationSettings &Simulation,
               const membership::MembershipSettings &Settings,
               std::uint64_t Seed);

  /// Runs for \p Span, calling \p AfterStep after each step of virtual time.
  void run(
      base::Duration Span, const std::function<void()> &AfterStep = [] {});

  base::TimePoint now() const { return Now_; }
  std::vector<Address> addresses() const;
  static base::ZoneName zoneOf(const Address &Vm);

  bool isUp(const Address &Vm) const;
  bool isPaused(const Address &Vm) const;
  membership::Membership &vm(const Address &Vm);

  void crash(const Address &Vm);
  void start(const Address &Vm);
  void pause(const Address &Vm, base::Duration Span);

  /// Cuts \p Zone off from all other zones, or reconnects it.
  void cutZone(const base::ZoneName &Zone, bool IsCut);

  /// Cuts one VM off from all others, or reconnects it.
  void cutVm(const Address &Vm, bool IsCut);

  /// Applies the platform list \p Listed at every VM that is up.
  void publishPlatformList(const membership::PlatformList &Listed);

  /// Returns a platform list of all VMs, including those that are down.
  membership::PlatformList fullPlatformList() const;

  std::uint64_t messages() const { return Messages_; }
  std::uint64_t bytes() const { return Bytes_; }

  /// Returns the bytes that each VM sent and received.
  const std::map<Address, std::uint64_t> &bytesOf() const { return BytesOf_; }

private:
  struct Node {
    std::unique_ptr<membership::Membership> Vm_;
    base::TimePoint PausedUntil_;
    base::Incarnation Incarnation_ = 0;
  };
  struct Event {
    Address To_;
    base::Incarnation Incarnation_ = 0; ///< of the receiver's process
    std::function<void(Node &)> Deliver_;
  };

  void send(const Address &From, const Address &To, std::size_t Bytes,
            std::function<void(Node &)> Deliver);
  void sendPull(const Address &From, const membership::Pull &DuePull);
  bool isCut(const Address &From, const Address &To) const;
  void deliverDueMessages();
  void tickAll();
  void startRandomPauses();

  SimulationSettings Simulation_;
  membership::MembershipSettings Settings_;
  base::RandomEngine Random_;
  base::TimePoint Now_;
  std::map<Address, Node> Nodes_;
  std::multimap<base::TimePoint, Event> Events_;
  std::set<base::ZoneName> CutZones_;
  std::set<Address> CutVms_;
  membership::PlatformList PlatformList_;
  std::uint64_t Messages_ = 0;
  std::uint64_t Bytes_ = 0;
  std::map<Address, std::uint64_t> BytesOf_;
};

} // namespace ebony::benchmembership

#endif
