#include "libs/traffic/fixtures.h"

#include <boost/test/unit_test.hpp>

using namespace ebony::traffic;
using namespace ebony::traffic::fixtures;

namespace {

constexpr ebony::base::Duration ColdDuration = 3s;

UpstreamEntry entryOf(std::int64_t Started, ebony::base::Duration Cold) {
  UpstreamEntry Entry = upstream("u1", "east-a");
  Entry.StartedUnixMs_ = Started;
  Entry.ColdRemaining_ = Cold;
  return Entry;
}

bool isCold(const UpstreamTable &Table, ebony::base::TimePoint Now) {
  return Table.find(ebony::base::UpstreamName("u1"))->isCold(Now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(olderentryfloodtest)

// The store may perform a write without an answer seconds later, when the
// upstream has started again.
BOOST_AUTO_TEST_CASE(olderEntryDoesNotMakeColdUpstreamWarm) {
  UpstreamTable Table = table();
  Table.put(entryOf(1000, 0s), at(0s));
  Table.put(entryOf(2000, ColdDuration), at(10s), ColdDuration);
  Table.put(entryOf(1000, 0s), at(11s), ColdDuration);
  BOOST_TEST(isCold(Table, at(11s)));
  Table.put(entryOf(2000, 0s), at(12s), ColdDuration);
  BOOST_TEST(isCold(Table, at(12900ms)));
}

// The first entry of a run may come without its cold time, as after a restart
// behind a cut.
BOOST_AUTO_TEST_CASE(upstreamThatStartedAgainUnderItsNameIsCold) {
  UpstreamTable Table = table();
  Table.put(entryOf(1000, 0s), at(0s));
  Table.put(entryOf(2000, 0s), at(10s), ColdDuration);
  BOOST_TEST(isCold(Table, at(12900ms)));
  BOOST_TEST(!isCold(Table, at(13s)));
}

BOOST_AUTO_TEST_CASE(upstreamThatGoesOnIsNotTakenForCold) {
  UpstreamTable Table = table();
  Table.put(entryOf(1000, 0s), at(0s));
  UpstreamEntry Changed = entryOf(1000, 0s);
  Changed.IsDraining_ = true;
  Table.put(Changed, at(10s), ColdDuration);
  BOOST_TEST(!isCold(Table, at(10s)));
}

BOOST_AUTO_TEST_SUITE_END()
