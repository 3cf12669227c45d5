#include "traffic/slotprice.h"

#include <algorithm>

namespace ebony::traffic {

namespace {

// Share of occupied slots above which slot time has a price.
constexpr double FreeShare = 0.3;

// Price when all slots are occupied.
constexpr double FullPrice = 8.0;

} // namespace

double SlotPrice::at(double UsedShare) {
  const double Scarcity =
      std::max(0.0, UsedShare - FreeShare) / (1 - FreeShare);
  return FullPrice * Scarcity * Scarcity;
}

} // namespace ebony::traffic
