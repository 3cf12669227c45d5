#ifndef EBONY_TESTS_VM_EVACUATIONDAY_H
#define EBONY_TESTS_VM_EVACUATIONDAY_H

#include "libs/vm/virtualfleet.h"

namespace ebony::vm::evacuationday {

inline constexpr std::uint64_t Seeds = 10;
inline constexpr base::Duration Cut = 4s;

inline VirtualFleet::Options smallSite(std::uint64_t Seed) {
  VirtualFleet::Options Result;
  Result.Zones_ = {{"pa", "p"}, {"pb", "p"}, {"sa", "s"},
                   {"sb", "s"}, {"oa", "o"}, {"ob", "o"}};
  Result.RequestsPerSecond_ = 600;
  Result.Seed_ = Seed;
  return Result;
}

/// Zone "sa" is evacuated after \p Disturb took effect and taken back cold.
/// The pause before the end of the evacuation is the time in which VMs have to
/// notice that they get no news.
inline void checkEvacuation(VirtualFleet &Fleet,
                            const VirtualFleet::Options &Site,
                            const std::function<void()> &Disturb) {
  base::RandomEngine Random(Site.Seed_);
  const base::Duration TakenBack =
      Cut + 1200ms + base::fromSeconds(Random.unit() * 2);
  Fleet.at(Cut, Disturb);
  Fleet.at(Cut + 200ms, [&] { Fleet.evacuate("sa"); });
  Fleet.at(TakenBack, [&] { Fleet.takeBack("sa"); });
  Fleet.at(TakenBack + Site.ColdDuration_, [&] { Fleet.mend(); });
  Fleet.play(16s);
  BOOST_TEST_CONTEXT("seed " << Site.Seed_) {
    BOOST_TEST(Fleet.mostPerSecond("sa", 0s, Cut) > Site.limitPerSecond());
    BOOST_TEST(
        Fleet.mostPerSecond("sa", TakenBack, TakenBack + Site.ColdDuration_) <=
        Site.limitPerSecond());
    BOOST_TEST(Fleet.arrivals("sa", 14s, 16s) >=
               Fleet.arrivals("sa", 1s, 3s) * 2 / 3);
  }
}

} // namespace ebony::vm::evacuationday

#endif
