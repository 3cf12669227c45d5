#include "base/randomengine.h"
#include "libs/traffic/fixtures.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace ebony;
using namespace ebony::traffic;
using namespace ebony::traffic::fixtures;

namespace {

const base::ServiceName Status("status");

/// One thing that a VM may hear about an upstream.
struct Piece {
  std::int64_t Started_ = 0;
  std::int64_t Sequence_ = 0;
  bool IsDraining_ = false;
  /// Said by a response, not by an entry.
  bool IsNotice_ = false;
};

void hear(UpstreamTable &Table, const Piece &Heard, base::TimePoint Now) {
  UpstreamEntry Entry = upstream("u1", "east-a");
  Entry.StartedUnixMs_ = Heard.Started_;
  Entry.Sequence_ = Heard.Sequence_;
  Entry.IsDraining_ = Heard.IsDraining_;
  const UpstreamPtr Listed = Table.find(Entry.Name_);
  if (!Heard.IsNotice_)
    Table.put(Entry, Now);
  else if (Listed && Listed->Entry_.StartedUnixMs_ == Heard.Started_)
    Table.recordLeaving(*Listed);
}

/// Two runs of an upstream, with their reports; the first one leaves.
std::vector<Piece> piecesOfTwoRuns() {
  std::vector<Piece> Result;
  for (std::int64_t Sequence = 1; Sequence <= 6; ++Sequence) {
    Result.push_back({1000, Sequence, Sequence > 4, false});
    Result.push_back({2000, Sequence, false, false});
  }
  Result.push_back({1000, 0, false, true});
  return Result;
}

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
  const UpstreamPtr Leaving = Table.find(Entry.Name_);
  BOOST_TEST(Table.recordLeaving(*Leaving));
  BOOST_TEST(!Table.recordLeaving(*Leaving));
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
  BOOST_TEST(Table.recordLeaving(*Old));
  BOOST_TEST(Table.usable(Status).size() == 1U);
  Table.recordLeaving(*Table.find(Entry.Name_));
  Entry.StartedUnixMs_ = 3;
  Table.put(Entry, at(3s));
  BOOST_TEST(Table.usable(Status).size() == 1U);
}

BOOST_AUTO_TEST_CASE(noticeIsKeptWhileTheRunIsListed) {
  UpstreamTable Table = table();
  UpstreamEntry Entry = upstream("u1", "east-a");
  Table.put(Entry, at(0s));
  Table.recordLeaving(*Table.find(Entry.Name_));
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
  Table.recordQuiet(*Table.find(Entry.Name_), at(10s));
  Table.remove(Entry.Name_, at(1s));
  Table.expire(at(2s));
  Table.put(Entry, at(3s));
  BOOST_TEST(Table.find(Entry.Name_)->isQuiet(at(9s)));
  BOOST_TEST(!Table.find(Entry.Name_)->isQuiet(at(10s)));
  Entry.StartedUnixMs_ = 2;
  Table.put(Entry, at(4s));
  BOOST_TEST(!Table.find(Entry.Name_)->isQuiet(at(5s)));
}

// Reports, notices and removals may reach a VM in any order and more than once.
BOOST_AUTO_TEST_CASE(noOrderOfReportsBringsBackALeavingRun) {
  constexpr int Orders = 10000;
  base::RandomEngine Random(46);
  std::vector<Piece> Pieces = piecesOfTwoRuns();
  for (int I = 0; I < Orders; ++I) {
    std::shuffle(Pieces.begin(), Pieces.end(), Random);
    UpstreamTable Table = table();
    bool HasFirstLeft = false;
    for (std::size_t Step = 0; Step < 2 * Pieces.size(); ++Step) {
      const Piece &Heard =
          Pieces[Step < Pieces.size() ? Step : Random() % Pieces.size()];
      const base::TimePoint Now = at(std::chrono::milliseconds(100 * Step));
      if (Random() % 10 == 0)
        Table.remove(base::UpstreamName("u1"), Now);
      hear(Table, Heard, Now);
      const UpstreamPtr Listed = Table.find(base::UpstreamName("u1"));
      if (!Listed)
        continue;
      const bool IsFirst = Listed->Entry_.StartedUnixMs_ == 1000;
      HasFirstLeft = HasFirstLeft || (IsFirst && Listed->isLeaving());
      BOOST_TEST_REQUIRE(
          (Table.usable(Status).empty() || !(IsFirst && HasFirstLeft)));
    }
    // All of the second run has been heard by now.
    hear(Table, {2000, 7, false, false}, at(1min));
    BOOST_TEST_REQUIRE(Table.usable(Status).size() == 1U);
    BOOST_TEST_REQUIRE(
        Table.find(base::UpstreamName("u1"))->Entry_.StartedUnixMs_ == 2000);
  }
}

BOOST_AUTO_TEST_SUITE_END()
