#include "libs/traffic/coldfleet.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::traffic;
using namespace ebony::traffic::fixtures;

namespace {

constexpr std::uint64_t Seeds = 20;

/// Checks the limit after the first reports have arrived.
void checkLimit(ColdFleet &Fleet, const ColdFleet::Options &Options) {
  Fleet.run();
  BOOST_TEST_CONTEXT("seed " << Options.Seed_ << ", " << Options.Vms_ << " VMs")
  BOOST_TEST(Fleet.mostPerSecond(2s, Options.Length_) <=
             Options.LimitPerSecond_);
}

} // namespace

BOOST_AUTO_TEST_SUITE(coldupstreamfloodtest)

// Incident FAILBACK: VMs that hear from few others each take themselves for one
// of the few that may send to a cold upstream.
BOOST_AUTO_TEST_CASE(vmsWithFullLinksKeepLimitOfColdUpstream) {
  for (const int Share : {1, 3, 6})
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      ColdFleet::Options Options;
      Options.Seed_ = Seed;
      ColdFleet Fleet(Options);
      base::RandomEngine Random(Seed);
      for (int I = 0; I < Options.Vms_; I += Share)
        Fleet.loseDatagrams(I, 4s + base::fromSeconds(Random.unit()), 12s);
      checkLimit(Fleet, Options);
    }
}

// Each VM starts without having heard of any other.
BOOST_AUTO_TEST_CASE(vmsThatRestartTogetherKeepLimitOfColdUpstream) {
  for (const int Vms : {12, 78})
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      ColdFleet::Options Options;
      Options.Seed_ = Seed;
      Options.Vms_ = Vms;
      ColdFleet Fleet(Options);
      base::RandomEngine Random(Seed);
      for (int I = 0; I < Vms; ++I)
        Fleet.restart(I, 6s, 300ms + base::fromSeconds(Random.unit() * 0.7));
      checkLimit(Fleet, Options);
    }
}

BOOST_AUTO_TEST_CASE(largeFleetKeepsLimitOfColdUpstream) {
  ColdFleet::Options Options;
  Options.Vms_ = 300;
  Options.Length_ = 10s;
  ColdFleet Fleet(Options);
  for (int I = 0; I < Options.Vms_; I += 6)
    Fleet.loseDatagrams(I, 4s, 9s);
  checkLimit(Fleet, Options);
}

// A third of the VMs are gone without notice; the others use the limit.
BOOST_AUTO_TEST_CASE(coldUpstreamIsUsedWhileVmsAreGone) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    ColdFleet::Options Options;
    Options.Seed_ = Seed;
    ColdFleet Fleet(Options);
    for (int I = 0; I < Options.Vms_; I += 3)
      Fleet.restart(I, 5s, std::nullopt);
    checkLimit(Fleet, Options);
    BOOST_TEST(Fleet.arrivals(8s, 13s) >= 5);
  }
}

BOOST_AUTO_TEST_CASE(vmThatKnowsNoOthersSendsNothing) {
  ColdUpstreamLimiter Limiter("vm0", 0.8);
  UpstreamState Upstream;
  BOOST_TEST(Limiter.allows(Upstream, 10, at(0s)));
  Upstream.ColdUntil_ = at(60s);
  BOOST_TEST(!Limiter.allows(Upstream, 10, at(1s)));
  Limiter.setOtherVms({"vm1"}, at(2s));
  BOOST_TEST(!Limiter.allows(Upstream, 10, at(3s)));
  BOOST_TEST(Limiter.allows(Upstream, 10, at(4s)));
}

// An entry may lapse and come back, or name another run of the process.
BOOST_AUTO_TEST_CASE(upstreamListedAnewKeepsItsLastSend) {
  ColdUpstreamLimiter Limiter("vm0", 0.8);
  Limiter.setOtherVms({}, at(0s));
  UpstreamTable Table = table();
  UpstreamEntry Entry = upstream("u1", "east-a");
  Entry.ColdRemaining_ = 9s;
  Table.put(Entry, at(2s));
  BOOST_TEST(Limiter.allows(*Table.find(Entry.Name_), 10, at(2s)));
  Limiter.recordSend(*Table.find(Entry.Name_), at(2s));
  Table.remove(Entry.Name_, at(2100ms));
  Table.put(Entry, at(2200ms));
  BOOST_TEST(!Limiter.allows(*Table.find(Entry.Name_), 10, at(2300ms)));
  ++Entry.StartedUnixMs_;
  Table.put(Entry, at(2400ms));
  BOOST_TEST(!Limiter.allows(*Table.find(Entry.Name_), 10, at(2500ms)));
  BOOST_TEST(Limiter.allows(*Table.find(Entry.Name_), 10, at(3300ms)));
}

BOOST_AUTO_TEST_SUITE_END()
