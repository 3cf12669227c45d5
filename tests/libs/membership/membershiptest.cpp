#include "benchmembership/virtualfleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace ebony::membership;
using namespace ebony::benchmembership;
using namespace ebony::base;
using namespace std::chrono_literals;

namespace {

const MembershipSettings Settings;

/// Returns true if every running VM shows exactly the running VMs of its zone
/// as live and every other zone as reachable.
bool hasConverged(VirtualFleet &Fleet) {
  for (const VmAddress &Viewer : Fleet.addresses()) {
    if (!Fleet.isUp(Viewer))
      continue;
    const FleetView View = Fleet.vm(Viewer).fleet();
    for (const VmAddress &Address : Fleet.addresses()) {
      if (VirtualFleet::zoneOf(Address) != View.OwnZone_.Zone_)
        continue;
      const ZoneMember *Found = View.OwnZone_.find(Address);
      const bool IsShown = Found && Found->IsLive_;
      if (IsShown != Fleet.isUp(Address) ||
          (IsShown && Found->Status_.Vm_ != Fleet.vm(Address).self().Vm_))
        return false;
    }
    if (std::any_of(
            View.OtherZones_.begin(), View.OtherZones_.end(),
            [](const DigestEntry &Entry) { return !Entry.IsReachable_; }))
      return false;
  }
  return true;
}

/// Counts the VMs that \p Viewer, which is not paused, shows as live although
/// their process ended more than the detection bound ago.
class DetectionChecker {
public:
  explicit DetectionChecker(VirtualFleet &Fleet) : Fleet_(Fleet) {}

  void crash(const VmAddress &Vm) {
    if (!Fleet_.isUp(Vm))
      return;
    Ended_[Fleet_.vm(Vm).self().Vm_] = Fleet_.now();
    Fleet_.crash(Vm);
  }

  /// Counts violations at every running viewer. The time since the viewer's
  /// last pause is used for its running time, which is at least as long.
  void check() {
    for (const VmAddress &Viewer : Fleet_.addresses()) {
      if (!Fleet_.isUp(Viewer))
        continue;
      if (Fleet_.isPaused(Viewer))
        LastPaused_[Viewer] = Fleet_.now();
      else
        checkViewer(Viewer);
    }
  }

  unsigned overdueViews() const { return OverdueViews_; }

private:
  void checkViewer(const VmAddress &Viewer) {
    const ZoneView View = Fleet_.vm(Viewer).zone();
    for (const ZoneMember &Member : View.Members_) {
      const auto Found = Ended_.find(Member.Status_.Vm_);
      if (Found != Ended_.end() && Member.IsLive_ &&
          Fleet_.now() - std::max(Found->second, LastPaused_[Viewer]) >
              Settings.detectionBound())
        ++OverdueViews_;
    }
  }

  VirtualFleet &Fleet_;
  std::map<VmIdentity, TimePoint> Ended_;
  std::map<VmAddress, TimePoint> LastPaused_;
  unsigned OverdueViews_ = 0;
};

VmAddress randomVm(const VirtualFleet &Fleet, RandomEngine &Random) {
  const std::vector<VmAddress> Addresses = Fleet.addresses();
  return Addresses[Random.below(Addresses.size())];
}

using Fault = void (*)(VirtualFleet &, DetectionChecker &, const VmAddress &);

constexpr Fault Faults[] = {
    [](VirtualFleet &, DetectionChecker &Checker, const VmAddress &Vm) {
      Checker.crash(Vm);
    },
    [](VirtualFleet &Fleet, DetectionChecker &Checker, const VmAddress &Vm) {
      Checker.crash(Vm);
      Fleet.start(Vm);
    },
    [](VirtualFleet &Fleet, DetectionChecker &, const VmAddress &Vm) {
      if (!Fleet.isUp(Vm))
        Fleet.start(Vm);
    },
    [](VirtualFleet &Fleet, DetectionChecker &, const VmAddress &Vm) {
      Fleet.pause(Vm, 30s);
    },
    [](VirtualFleet &Fleet, DetectionChecker &, const VmAddress &Vm) {
      Fleet.cutZone(VirtualFleet::zoneOf(Vm), true);
    },
    [](VirtualFleet &Fleet, DetectionChecker &, const VmAddress &Vm) {
      Fleet.cutZone(VirtualFleet::zoneOf(Vm), false);
    },
    [](VirtualFleet &Fleet, DetectionChecker &, const VmAddress &Vm) {
      Fleet.cutVm(Vm, true);
    },
    [](VirtualFleet &Fleet, DetectionChecker &, const VmAddress &Vm) {
      Fleet.cutVm(Vm, false);
    },
    [](VirtualFleet &Fleet, DetectionChecker &Checker, const VmAddress &Vm) {
      if (!Fleet.isUp(Vm))
        return;
      const ZoneTree Tree = Fleet.vm(Vm).tree();
      for (const VmAddress &Relay : Tree.relays())
        Checker.crash(Relay);
    },
};

void clearFaults(VirtualFleet &Fleet) {
  for (const VmAddress &Vm : Fleet.addresses()) {
    Fleet.cutZone(VirtualFleet::zoneOf(Vm), false);
    Fleet.cutVm(Vm, false);
    Fleet.pause(Vm, 0s);
    if (!Fleet.isUp(Vm))
      Fleet.start(Vm);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(membershiptest)

BOOST_AUTO_TEST_CASE(detectsDeadVmsInTimeAndConvergesAfterFaults) {
  constexpr std::uint64_t Schedules = 60;
  for (std::uint64_t Seed = 1; Seed <= Schedules; ++Seed) {
    VirtualFleet Fleet({.Zones_ = 3, .VmsPerZone_ = 6, .LossEachWay_ = 0.02},
                       Settings, Seed);
    DetectionChecker Checker(Fleet);
    RandomEngine Random(Seed * 977);
    for (int Round = 0; Round < 20; ++Round) {
      Faults[Random.below(std::size(Faults))](Fleet, Checker,
                                              randomVm(Fleet, Random));
      Fleet.run(Duration(Random.below(6'000'000)), [&] { Checker.check(); });
    }
    clearFaults(Fleet);
    BOOST_TEST(Checker.overdueViews() == 0U, "seed " << Seed);
    Fleet.run(40s, [&] { Checker.check(); });
    BOOST_TEST(hasConverged(Fleet), "seed " << Seed);
    BOOST_TEST(Checker.overdueViews() == 0U, "seed " << Seed);
  }
}

BOOST_AUTO_TEST_CASE(lossAndShortPausesRarelyRaiseFalseSuspicion) {
  VirtualFleet Fleet({.Zones_ = 1,
                      .VmsPerZone_ = 34,
                      .LossEachWay_ = 0.05,
                      .PausesPerMinute_ = 1,
                      .LongestPause_ = 1s},
                     Settings, 11);
  Fleet.run(20s);
  unsigned Suspicions = 0;
  std::set<std::pair<VmAddress, VmAddress>> Suspected;
  const auto CountNewSuspicions = [&] {
    for (const VmAddress &Viewer : Fleet.addresses())
      for (const ZoneMember &Member : Fleet.vm(Viewer).zone().Members_) {
        const auto Pair = std::make_pair(Viewer, Member.Status_.Vm_.address());
        if (Member.IsLive_)
          Suspected.erase(Pair);
        else
          Suspicions += Suspected.insert(Pair).second ? 1 : 0;
      }
  };
  for (int Index = 0; Index < 1800; ++Index) {
    Fleet.run(500ms);
    CountNewSuspicions();
  }
  // The target is one false suspicion for a viewer and a VM in 10 hours.
  const double PairHours = 34.0 * 33 * 900 / 3600;
  BOOST_TEST(Suspicions <= PairHours / 10);
}

BOOST_AUTO_TEST_CASE(pausedProcessSuspectsNoVm) {
  VirtualFleet Fleet({.Zones_ = 2, .VmsPerZone_ = 8}, Settings, 5);
  Fleet.run(20s);
  for (const VmAddress &Vm : Fleet.addresses()) {
    Fleet.pause(Vm, 10s);
    Fleet.run(10s);
    for (int Step = 0; Step < 100; ++Step) {
      Fleet.run(50ms);
      for (const ZoneMember &Member : Fleet.vm(Vm).zone().Members_)
        BOOST_TEST(Member.IsLive_);
    }
  }
}

BOOST_AUTO_TEST_CASE(plannedStopReachesZoneWithinThreeSeconds) {
  VirtualFleet Fleet({.Zones_ = 1, .VmsPerZone_ = 34, .LossEachWay_ = 0.02},
                     Settings, 3);
  Fleet.run(20s);
  for (const VmAddress &Vm : Fleet.addresses()) {
    Fleet.vm(Vm).announce(VmPhase::Leaving);
    Fleet.run(3s);
    for (const VmAddress &Viewer : Fleet.addresses()) {
      const ZoneView View = Fleet.vm(Viewer).zone();
      BOOST_TEST(View.find(Vm)->IsLeaving_);
    }
  }
}

BOOST_AUTO_TEST_CASE(supersededIncarnationStopsPulling) {
  const VmAddress Address("10.1.0.1");
  const ZoneName Zone("a");
  Membership Old(VmIdentity(Address, 1, Zone), Settings, RandomEngine(1));
  Membership New(VmIdentity(Address, 2, Zone), Settings, RandomEngine(2));
  Membership Peer(VmIdentity(VmAddress("10.1.0.2"), 1, Zone), Settings,
                  RandomEngine(3));
  for (Membership *Vm : {&Old, &New})
    Vm->applyPlatformList(
        {{.Address_ = Peer.self().Vm_.address(), .Zone_ = Zone}});
  const TimePoint Now(100s);
  for (Membership *Vm : {&New, &Old}) {
    const std::vector<Pull> Pulls = Vm->tick(Now);
    BOOST_REQUIRE(!Pulls.empty());
    Vm->applyReply(Now, Pulls[0].Target_, Peer.answer(Now, Pulls[0].Request_));
  }
  BOOST_TEST(!New.isSuperseded());
  BOOST_TEST(Old.isSuperseded());
  BOOST_TEST(Old.tick(Now + 5s).empty());
}

BOOST_AUTO_TEST_CASE(dropsLateAndCrossedReplies) {
  const ZoneName Zone("a");
  Membership Vm(VmIdentity(VmAddress("10.1.0.1"), 1, Zone), Settings,
                RandomEngine(1));
  Membership Peer(VmIdentity(VmAddress("10.1.0.2"), 1, Zone), Settings,
                  RandomEngine(3));
  Vm.applyPlatformList(
      {{.Address_ = Peer.self().Vm_.address(), .Zone_ = Zone}});
  const TimePoint Now(100s);
  const Pull First = Vm.tick(Now)[0];
  const HeartbeatReply Reply = Peer.answer(Now, First.Request_);
  const Pull Second = Vm.tick(Now + 1s)[0];
  Vm.applyReply(Now + 1s, Second.Target_, Reply);
  BOOST_TEST(Vm.zone().Members_.size() == 1U);
  Vm.applyReply(Now + 1s, Second.Target_,
                Peer.answer(Now + 1s, Second.Request_));
  BOOST_TEST(Vm.zone().Members_.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
