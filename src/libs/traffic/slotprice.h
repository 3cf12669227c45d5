#ifndef EBONY_TRAFFIC_SLOTPRICE_H
#define EBONY_TRAFFIC_SLOTPRICE_H

#include "traffic/upstreamstate.h"

namespace ebony::traffic {

/// Slots of a group of upstreams and the requests that occupy them.
class SlotUsage {
public:
  void add(const UpstreamState &Upstream) {
    Slots_ += Upstream.Entry_.Slots_;
    Load_ += Upstream.load();
  }

  /// Returns the occupied share of the slots; above 1 if requests queue at
  /// upstreams.
  double share() const {
    return Slots_ > 0 ? static_cast<double>(Load_) / Slots_ : 1.0;
  }

private:
  int Slots_ = 0;
  int Load_ = 0;
};

/// Price of slot time beyond what a request needs at an upstream that has its
/// object cached, in units of the caller's own waiting time.
///
/// Load pattern: more requests than slots, and objects that are served several
/// times as fast where they are cached. A response without the cached object
/// occupies a slot for longer and displaces another cached object. That costs
/// nothing while slots are idle; while they are short, it costs the requests
/// that could have used the slot, and an upstream that serves too many objects
/// ends up with none of them cached.
class SlotPrice {
public:
  /// Returns the price if \p UsedShare of the slots is occupied.
  static double at(double UsedShare);
};

} // namespace ebony::traffic

#endif
