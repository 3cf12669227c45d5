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

struct Table {
  ZoneTable Zone_{status(VmAddress("10.1.0.1"), 1, 0), MembershipSettings()};

  void hear(Incarnation Number, std::int64_t Sequence, Duration Since) {
    Zone_.hearDirect(status(Peer, Number, Sequence), at(Since), at(Since));
    Zone_.review(at(Since));
  }
  bool isLive(Duration Since) {
    Zone_.review(at(Since));
    const ZoneView View = Zone_.view();
    const ZoneMember *Found = View.find(Peer);
    return Found && Found->IsLive_;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(zonetabletest)

BOOST_FIXTURE_TEST_CASE(olderIncarnationNeverComesBack, Table) {
  hear(5, 1, 0s);
  hear(6, 1, 1s);
  hear(5, 99, 2s);
  Zone_.merge({.Status_ = status(Peer, 5, 100), .Liveness_ = Liveness::Live},
              at(3s), at(3s));
  BOOST_TEST(Zone_.incarnationAt(Peer) == 6);
  BOOST_TEST(!isLive(10s));
  hear(5, 101, 11s);
  BOOST_TEST(!isLive(11s));
}

BOOST_FIXTURE_TEST_CASE(passedOnWordKeepsItsAge, Table) {
  hear(5, 1, 0s);
  Zone_.hearVia(
      {.Address_ = Peer, .Incarnation_ = 5, .Sequence_ = 9, .Age_ = 30s},
      at(31s), at(31s));
  BOOST_TEST(!isLive(31s));
  Zone_.hearVia(
      {.Address_ = Peer, .Incarnation_ = 5, .Sequence_ = 10, .Age_ = 100ms},
      at(31s), at(31s));
  BOOST_TEST(isLive(31s));
}

BOOST_FIXTURE_TEST_CASE(vouchingEndsAndADenialHoldsUntilNewerWord, Table) {
  hear(5, 1, 0s);
  Zone_.vouch(status(Peer, 5, 1).Vm_, at(4s));
  BOOST_TEST(isLive(9s));
  BOOST_TEST(!isLive(9s + 1us));
  hear(5, 2, 10s);
  Zone_.deny(status(Peer, 5, 2));
  BOOST_TEST(!isLive(10s));
  hear(5, 3, 10s);
  BOOST_TEST(isLive(10s));
}

BOOST_FIXTURE_TEST_CASE(repliesHoldOnlyWhatChanged, Table) {
  hear(5, 1, 0s);
  const std::int64_t Known = Zone_.version();
  hear(5, 2, 500ms);
  BOOST_TEST(Zone_.changedSince(Known, at(500ms)).empty());
  VmStatus Leaving = status(Peer, 5, 3);
  Leaving.Phase_ = VmPhase::Leaving;
  Zone_.hearDirect(Leaving, at(1s), at(1s));
  BOOST_TEST(Zone_.changedSince(Known, at(1s)).size() == 1U);
  const ZoneView View = Zone_.view();
  BOOST_TEST(!View.find(Peer)->takesNewWork());
}

BOOST_FIXTURE_TEST_CASE(platformListOnlyMarksLeaving, Table) {
  hear(5, 1, 0s);
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
