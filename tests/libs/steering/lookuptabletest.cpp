#include "steering/lookuptable.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace ebony::steering;
using namespace ebony::membership;
using namespace ebony::base;
using namespace std::chrono_literals;

namespace {

const ZoneName OwnZone("a");
const ZoneName OtherZone("b");

ZoneMember member(const std::string &Address, bool IsLive, bool IsLeaving) {
  return {.Status_ = {.Vm_ = VmIdentity(VmAddress(Address), 1, OwnZone),
                      .FreeCapacity_ = 10},
          .IsLive_ = IsLive,
          .IsLeaving_ = IsLeaving};
}

FleetView fleet() {
  FleetView Fleet;
  Fleet.OwnZone_ = {.Zone_ = OwnZone,
                    .Members_ = {member("10.1.0.1", true, false),
                                 member("10.1.0.2", true, false)}};
  Fleet.OtherZones_ = {{.Digest_ = {.Zone_ = OtherZone,
                                    .LiveVms_ = 2,
                                    .ServingVms_ = 2,
                                    .Relays_ = {VmAddress("10.2.0.1")}},
                        .IsReachable_ = true}};
  return Fleet;
}

SteeringPlan plan(std::uint32_t OwnWeight, std::uint32_t OtherWeight) {
  return {
      .Revision_ = 3,
      .Sites_ = {{.Shares_ = {{.Zone_ = OwnZone, .Weight_ = OwnWeight},
                              {.Zone_ = OtherZone, .Weight_ = OtherWeight}}}}};
}

LookupTable table(const FleetView &Fleet, const SteeringPlan &Plan) {
  static const auto Blocks =
      std::make_shared<const ClientBlockMap>(ClientBlockMap().withChanges(
          {{.Block_ = {.Family_ = Family::IPv4}, .Site_ = 0}}, 1));
  return {Blocks, Plan, Fleet, {}, LookupSettings()};
}

LookupQuery query(std::uint64_t Caller) {
  return {.Client_ = {.Family_ = Family::IPv4, .Key_ = Caller << 32},
          .Customer_ = CustomerName("c")};
}

/// Returns the share of callers that \p Table sends to the own zone.
double ownZoneShare(const LookupTable &Table) {
  constexpr unsigned Callers = 10000;
  unsigned Count = 0;
  for (std::uint64_t Caller = 0; Caller < Callers; ++Caller)
    Count += Table.answer(query(Caller)).Zone_ == OwnZone ? 1 : 0;
  return static_cast<double>(Count) / Callers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(lookuptabletest)

BOOST_AUTO_TEST_CASE(clientsFollowWeightsAndMoveOnlyAsNeeded) {
  const LookupTable Even = table(fleet(), plan(1, 1));
  const LookupTable Shifted = table(fleet(), plan(1, 3));
  BOOST_TEST(std::abs(ownZoneShare(Even) - 0.5) < 0.02);
  BOOST_TEST(std::abs(ownZoneShare(Shifted) - 0.25) < 0.02);
  for (std::uint64_t Caller = 0; Caller < 2000; ++Caller)
    if (Even.answer(query(Caller)).Zone_ == OtherZone)
      BOOST_TEST((Shifted.answer(query(Caller)).Zone_ == OtherZone));
}

BOOST_AUTO_TEST_CASE(skipsUnhealthyZonesAndFallsBackToOwnZone) {
  FleetView Fleet = fleet();
  Fleet.OtherZones_[0].IsReachable_ = false;
  BOOST_TEST(ownZoneShare(table(Fleet, plan(1, 9))) == 1.0);
  const LookupAnswer Answer = table(Fleet, plan(0, 1)).answer(query(1));
  BOOST_TEST(Answer.IsFallback_);
  BOOST_TEST((Answer.Zone_ == OwnZone));
  BOOST_TEST(Answer.EntryVms_.size() == 2U);
  BOOST_TEST(Answer.TimeToLive_.count() <= Duration(3s).count());
}

BOOST_AUTO_TEST_CASE(omitsLeavingAndDeadVmsAndShortensTimeToLive) {
  FleetView Fleet = fleet();
  const LookupAnswer Steady = table(Fleet, plan(1, 0)).answer(query(1));
  BOOST_TEST(Steady.EntryVms_.size() == 2U);
  BOOST_TEST(Steady.TimeToLive_.count() > Duration(20s).count());
  Fleet.OwnZone_.Members_.push_back(member("10.1.0.3", false, false));
  Fleet.OwnZone_.Members_[0].IsLeaving_ = true;
  const LookupAnswer Drained = table(Fleet, plan(1, 0)).answer(query(1));
  BOOST_TEST((Drained.EntryVms_ == std::vector{VmAddress("10.1.0.2")}));
  BOOST_TEST(Drained.TimeToLive_.count() <= Duration(3s).count());
  SteeringPlan Shifting = plan(1, 0);
  Shifting.Sites_[0].IsShifting_ = true;
  const LookupTable ShiftingTable = table(fleet(), Shifting);
  BOOST_TEST(ShiftingTable.answer(query(1)).TimeToLive_.count() <=
             Duration(3s).count());
}

BOOST_AUTO_TEST_CASE(returnsRelaysForOtherZone) {
  const LookupAnswer Answer = table(fleet(), plan(0, 1)).answer(query(1));
  BOOST_TEST((Answer.Zone_ == OtherZone));
  BOOST_TEST((Answer.EntryVms_ == std::vector{VmAddress("10.2.0.1")}));
  BOOST_TEST(Answer.PlanRevision_ == 3);
}

BOOST_AUTO_TEST_SUITE_END()
