#include "libs/vm/virtualfleet.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::vm;

namespace {

constexpr std::uint64_t Seeds = 10;

/// Times on a day on which the upstreams of zone "a" lose the way to the store.
struct Times {
  base::Duration Lapse_{};
  base::Duration ListedAgain_{};
  /// When the first entry arrives that says how long the upstreams are cold.
  base::Duration ColdListed_{};
  base::Duration ColdUntil_{};
  std::optional<base::Duration> Evacuated_;
  base::Duration TakenBack_{};
};

VirtualFleet::Options grownSite(std::uint64_t Seed) {
  VirtualFleet::Options Result;
  Result.Zones_ = {{"a", "r"}, {"b", "r"}};
  Result.VmsPerZone_ = 39;
  Result.UpstreamsPerZone_ = 5;
  Result.ColdRate_ = 5.7;
  Result.ColdSlack_ = 8;
  Result.Seed_ = Seed;
  return Result;
}

base::Duration between(base::RandomEngine &Random, base::Duration From,
                       base::Duration To) {
  return From + base::fromSeconds(base::toSeconds(To - From) * Random.unit());
}

/// The upstreams go cold between the lapse of their entries and their return.
void checkDay(const Times &Day, std::uint64_t Seed) {
  const VirtualFleet::Options Site = grownSite(Seed);
  VirtualFleet Fleet(Site);
  if (Day.Evacuated_) {
    Fleet.at(*Day.Evacuated_, [&] { Fleet.evacuate("a"); });
    Fleet.at(Day.TakenBack_, [&] { Fleet.takeBack("a"); });
  }
  Fleet.at(Day.Lapse_, [&] { Fleet.removeEntries("a"); });
  Fleet.at(Day.ListedAgain_, [&] { Fleet.listEntries("a", 0s); });
  Fleet.at(Day.ColdListed_,
           [&] { Fleet.listEntries("a", Day.ColdUntil_ - Day.ColdListed_); });
  Fleet.play(18s);
  BOOST_TEST_CONTEXT("seed " << Seed) {
    BOOST_TEST(Fleet.arrivals("a", 0s, 2s) > 0);
    BOOST_TEST(Fleet.mostPerSecond("a", Day.Lapse_, Day.ColdUntil_) <=
               Site.limitPerSecond());
    BOOST_TEST(Fleet.arrivals("a", 16s, 18s) >=
               Fleet.arrivals("a", 0s, 2s) * 2 / 3);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(relistedupstreamfloodtest)

// Incident FAILBACK: upstreams lose their entries while their zone is evacuated
// and taken back, and come back with entries from before.
BOOST_AUTO_TEST_CASE(upstreamsListedAgainAfterEvacuationAreNotFlooded) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    base::RandomEngine Random(Seed);
    Times Day;
    Day.Evacuated_ = 3s;
    Day.Lapse_ = 6s;
    Day.TakenBack_ = between(Random, 7s, 10s);
    Day.ListedAgain_ = Day.TakenBack_ + between(Random, 100ms, 1500ms);
    Day.ColdUntil_ = Day.TakenBack_ + 3s;
    Day.ColdListed_ = Day.ListedAgain_ + between(Random, 500ms, 1400ms);
    checkDay(Day, Seed);
  }
}

// The same without an evacuation: only the entries tell that the upstreams
// have gone cold.
BOOST_AUTO_TEST_CASE(upstreamsListedAgainWithOldEntriesAreNotFlooded) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    base::RandomEngine Random(Seed);
    Times Day;
    Day.Lapse_ = 6s;
    Day.ListedAgain_ = between(Random, 7s, 9s);
    Day.ColdListed_ = Day.ListedAgain_ + between(Random, 500ms, 1400ms);
    Day.ColdUntil_ = Day.ListedAgain_ + between(Random, 1500ms, 2900ms);
    checkDay(Day, Seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()
