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

/// Disturbs a fleet.
using Disturbance = void (*)(VirtualFleet &);

/// Plays a day on which zone "sa" is evacuated after \p Disturb took effect and
/// taken back cold. The pause before the end of the evacuation is the time in
/// which VMs have to notice that they get no news.
struct EvacuationDay {
  explicit EvacuationDay(const VirtualFleet::Options &Site, Disturbance Disturb)
      : Fleet_(Site) {
    base::RandomEngine Random(Site.Seed_);
    TakenBack_ = Cut + 1200ms + base::fromSeconds(Random.unit() * 2);
    ColdUntil_ = TakenBack_ + Site.ColdDuration_;
    Fleet_.at(Cut, [=, this] { Disturb(Fleet_); });
    Fleet_.at(Cut + 200ms, [this] { Fleet_.evacuate("sa"); });
    Fleet_.at(TakenBack_, [this] { Fleet_.takeBack("sa"); });
    Fleet_.at(ColdUntil_, [this] { Fleet_.mend(); });
    Fleet_.play(22s);
  }

  int mostWhileCold() const {
    return Fleet_.mostPerSecond("sa", TakenBack_, ColdUntil_);
  }
  int arrivalsAfterwards() const {
    return Fleet_.arrivals("sa", ColdUntil_, 22s);
  }

  VirtualFleet Fleet_;
  base::Duration TakenBack_{};
  base::Duration ColdUntil_{};
};

/// The upstreams are not flooded while they are cold, and get requests again
/// afterwards, about as on the same day without a disturbance.
inline void checkEvacuation(const VirtualFleet::Options &Site,
                            Disturbance Disturb) {
  const EvacuationDay Calm(Site, [](VirtualFleet &) {});
  const EvacuationDay Day(Site, Disturb);
  BOOST_TEST_CONTEXT("seed " << Site.Seed_) {
    BOOST_TEST(Day.Fleet_.mostPerSecond("sa", 0s, Cut) > Site.limitPerSecond());
    BOOST_TEST(Day.mostWhileCold() <= Site.limitPerSecond());
    BOOST_TEST(Day.arrivalsAfterwards() >= Calm.arrivalsAfterwards() / 2);
  }
}

} // namespace ebony::vm::evacuationday

#endif
