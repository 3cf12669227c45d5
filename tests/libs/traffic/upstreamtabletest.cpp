#include "libs/traffic/fixtures.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::traffic;
using namespace ebony::traffic::fixtures;

namespace {

const base::ServiceName Status("status");

} // namespace

BOOST_AUTO_TEST_SUITE(upstreamtabletest)

BOOST_AUTO_TEST_CASE(drainingUpstreamIsNotUsable) {
  UpstreamTable Table = table();
  UpstreamEntry Entry = upstream("u1", "east-a");
  Table.put(Entry, at(0s));
  BOOST_TEST(Table.usable(Status).size() == 1U);
  Entry.IsDraining_ = true;
  BOOST_TEST(Table.put(Entry, at(1s)));
  BOOST_TEST(Table.usable(Status).empty());
}

BOOST_AUTO_TEST_CASE(evacuatedZoneIsUnusableAndColdOnReturn) {
  UpstreamTable Table = table();
  Table.put(upstream("u1", "east-a"), at(0s));
  Table.put(upstream("u2", "east-b"), at(0s));
  Table.setEvacuated({base::ZoneName("east-a")}, 3s, at(1s));
  BOOST_TEST(Table.usable(Status).size() == 1U);
  Table.setEvacuated({}, 3s, at(5s));
  BOOST_TEST(Table.usable(Status).size() == 2U);
  BOOST_TEST(Table.find(base::UpstreamName("u1"))->isCold(at(7s)));
  BOOST_TEST(!Table.find(base::UpstreamName("u1"))->isCold(at(9s)));
  BOOST_TEST(!Table.find(base::UpstreamName("u2"))->isCold(at(7s)));
}

BOOST_AUTO_TEST_CASE(lapsedEntryIsKeptForGracePeriodAfterStoreOutage) {
  UpstreamTable Table = table();
  Table.put(upstream("u1", "east-a"), at(0s));
  Table.put(upstream("u2", "east-a"), at(0s));
  Table.recordStoreReturn(at(10s));
  Table.remove(base::UpstreamName("u1"), at(10s));
  Table.remove(base::UpstreamName("u2"), at(10s));
  Table.put(upstream("u1", "east-a"), at(11s));
  Table.expire(at(11s));
  BOOST_TEST(Table.usable(Status).size() == 2U);
  Table.expire(at(12s));
  BOOST_TEST(Table.usable(Status).size() == 1U);
  BOOST_TEST(!Table.find(base::UpstreamName("u2")));
}

BOOST_AUTO_TEST_CASE(restartUnderSameNameResetsState) {
  UpstreamTable Table = table();
  UpstreamEntry Entry = upstream("u1", "east-a");
  Table.put(Entry, at(0s));
  const UpstreamPtr Old = Table.find(Entry.Name_);
  Old->InFlight_ = 3;
  Old->FailuresInRow_ = 2;
  Entry.StartedUnixMs_ = 2;
  Table.put(Entry, at(1s));
  BOOST_TEST(Table.find(Entry.Name_)->InFlight_ == 0);
  BOOST_TEST(Table.find(Entry.Name_)->FailuresInRow_ == 0);
  BOOST_TEST(!Old->IsListed_);
}

BOOST_AUTO_TEST_CASE(retainOnlyRemovesUnlistedUpstreams) {
  UpstreamTable Table = table();
  Table.put(upstream("u1", "east-a"), at(0s));
  Table.put(upstream("u2", "east-a"), at(0s));
  Table.retainOnly({base::UpstreamName("u2")}, at(1s));
  BOOST_TEST(Table.usable(Status).size() == 1U);
}

// Incident leaving-upstream: what a response has said outlasts all that the
// store shows of the same run.
BOOST_AUTO_TEST_CASE(noEntryLiftsALeavingNotice) {
  UpstreamTable Table = table();
  UpstreamEntry Entry = upstream("u1", "east-a");
  Table.put(Entry, at(0s));
  const NameTag Run = Table.find(Entry.Name_)->runTag();
  BOOST_TEST(Table.recordLeaving(Run, at(1s)));
  BOOST_TEST(!Table.recordLeaving(Run, at(1s)));
  BOOST_TEST(Table.usable(Status).empty());
  Entry.Slots_ = 5;
  Table.put(Entry, at(2s));
  BOOST_TEST(Table.usable(Status).empty());
  Table.remove(Entry.Name_, at(3s));
  Table.expire(at(4s));
  Table.put(Entry, at(5s));
  BOOST_TEST(Table.usable(Status).empty());
  Entry.Address_ = "10.0.0.2";
  Table.put(Entry, at(6s));
  BOOST_TEST(Table.usable(Status).empty());
}

BOOST_AUTO_TEST_CASE(leavingNoticeHoldsForOneRun) {
  UpstreamTable Table = table();
  UpstreamEntry Entry = upstream("u1", "east-a");
  Table.put(Entry, at(0s));
  const UpstreamPtr Old = Table.find(Entry.Name_);
  Entry.StartedUnixMs_ = 2;
  Table.put(Entry, at(1s));
  // A response of the earlier run arrives late.
  BOOST_TEST(Table.recordLeaving(Old->runTag(), at(1s)));
  BOOST_TEST(Table.usable(Status).size() == 1U);
  Table.recordLeaving(Table.find(Entry.Name_)->runTag(), at(2s));
  Entry.StartedUnixMs_ = 3;
  Table.put(Entry, at(3s));
  BOOST_TEST(Table.usable(Status).size() == 1U);
}

BOOST_AUTO_TEST_CASE(noticeIsKeptWhileTheRunIsListed) {
  UpstreamTable Table = table();
  UpstreamEntry Entry = upstream("u1", "east-a");
  Table.put(Entry, at(0s));
  Table.recordLeaving(Table.find(Entry.Name_)->runTag(), at(0s));
  for (base::Duration Time = 0s; Time < 30min; Time += 1min)
    Table.expire(at(Time));
  Entry.Slots_ = 5;
  Table.put(Entry, at(30min));
  BOOST_TEST(Table.usable(Status).empty());
}

BOOST_AUTO_TEST_CASE(quietTimeOutlastsTheEntryButNotTheRun) {
  UpstreamTable Table = table();
  UpstreamEntry Entry = upstream("u1", "east-a");
  Table.put(Entry, at(0s));
  Table.recordQuiet(Table.find(Entry.Name_)->runTag(), at(10s));
  Table.remove(Entry.Name_, at(1s));
  Table.expire(at(2s));
  Table.put(Entry, at(3s));
  BOOST_TEST(Table.find(Entry.Name_)->isQuiet(at(9s)));
  BOOST_TEST(!Table.find(Entry.Name_)->isQuiet(at(10s)));
  Entry.StartedUnixMs_ = 2;
  Table.put(Entry, at(4s));
  BOOST_TEST(!Table.find(Entry.Name_)->isQuiet(at(5s)));
}

BOOST_AUTO_TEST_SUITE_END()
