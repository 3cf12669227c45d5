#include "membership/zonetable.h"

#include <boost/test/unit_test.hpp>

using namespace ebony::membership;
using namespace std::chrono_literals;
using namespace ebony::base;

namespace {

const VmAddress Peer("10.1.0.2");

VmStatus status(const VmAddress &Address, Incarnation Number,
                std::int64_t Sequence) {
  return {.Vm_ = VmIdentity(Address, Number, ZoneName("a")),
          .Sequence_ = Sequence};
}

ProcessTime at(Duration Since) { return {TimePoint(100s + Since)}; }

struct ZoneTableFixture {
  ZoneTable Zone_{status(VmAddress("10.1.0.1"), 1, 0), MembershipSettings()};

  void recordHeartbeat(Incarnation Number, std::int64_t Sequence,
                       Duration Since) {
    Zone_.recordDirectHeartbeat(status(Peer, Number, Sequence), at(Since),
                                at(Since));
    Zone_.updateLiveness(at(Since));
  }
  bool isLive(Duration Since) {
    Zone_.updateLiveness(at(Since));
    const ZoneView View = Zone_.view();
    const ZoneMember *Found = View.find(Peer);
    return Found && Found->IsLive_;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(zonetabletest)

BOOST_FIXTURE_TEST_CASE(ignoresOlderIncarnation, ZoneTableFixture) {
  recordHeartbeat(5, 1, 0s);
  recordHeartbeat(6, 1, 1s);
  recordHeartbeat(5, 99, 2s);
  Zone_.merge({.Status_ = status(Peer, 5, 100), .Liveness_ = Liveness::Live},
              at(3s), at(3s));
  BOOST_TEST(Zone_.incarnationAt(Peer) == 6);
  BOOST_TEST(!isLive(10s));
  recordHeartbeat(5, 101, 11s);
  BOOST_TEST(!isLive(11s));
}

BOOST_FIXTURE_TEST_CASE(relayedHeartbeatKeepsItsAge, ZoneTableFixture) {
  recordHeartbeat(5, 1, 0s);
  Zone_.recordRelayedHeartbeat(
      {.Address_ = Peer, .Incarnation_ = 5, .Sequence_ = 9, .Age_ = 30s},
      at(31s), at(31s));
  BOOST_TEST(!isLive(31s));
  Zone_.recordRelayedHeartbeat(
      {.Address_ = Peer, .Incarnation_ = 5, .Sequence_ = 10, .Age_ = 100ms},
      at(31s), at(31s));
  BOOST_TEST(isLive(31s));
}

BOOST_FIXTURE_TEST_CASE(liveReportExpiresAndDeadReportHoldsUntilNewerHeartbeat,
                        ZoneTableFixture) {
  recordHeartbeat(5, 1, 0s);
  Zone_.recordReportedLive(status(Peer, 5, 1).Vm_, at(4s));
  BOOST_TEST(isLive(9s));
  BOOST_TEST(!isLive(9s + 1us));
  recordHeartbeat(5, 2, 10s);
  Zone_.recordReportedDead(status(Peer, 5, 2));
  BOOST_TEST(!isLive(10s));
  recordHeartbeat(5, 3, 10s);
  BOOST_TEST(isLive(10s));
}

BOOST_FIXTURE_TEST_CASE(changedSinceOmitsUnchangedMembers, ZoneTableFixture) {
  recordHeartbeat(5, 1, 0s);
  const std::int64_t Known = Zone_.version();
  recordHeartbeat(5, 2, 500ms);
  BOOST_TEST(Zone_.changedSince(Known, at(500ms)).empty());
  VmStatus Leaving = status(Peer, 5, 3);
  Leaving.Phase_ = VmPhase::Leaving;
  Zone_.recordDirectHeartbeat(Leaving, at(1s), at(1s));
  BOOST_TEST(Zone_.changedSince(Known, at(1s)).size() == 1U);
  const ZoneView View = Zone_.view();
  BOOST_TEST(!View.find(Peer)->takesNewWork());
}

BOOST_FIXTURE_TEST_CASE(platformListMarksLeavingAndAddsNoMembers,
                        ZoneTableFixture) {
  recordHeartbeat(5, 1, 0s);
  const VmAddress Unknown("10.1.0.9");
  Zone_.applyPlatformList(
      {{.Address_ = Peer, .Zone_ = ZoneName("a"), .IsLeaving_ = true},
       {.Address_ = Unknown, .Zone_ = ZoneName("a")}});
  const ZoneView View = Zone_.view();
  BOOST_TEST(View.find(Peer)->IsLive_);
  BOOST_TEST(!View.find(Peer)->takesNewWork());
  BOOST_TEST(!View.find(Unknown));
}

BOOST_AUTO_TEST_SUITE_END()
