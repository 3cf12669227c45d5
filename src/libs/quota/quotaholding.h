#ifndef EBONY_QUOTA_QUOTAHOLDING_H
#define EBONY_QUOTA_QUOTAHOLDING_H

#include "quota/quotashare.h"

namespace ebony::quota {

/// Parts owned in one zone. The floor never leaves the zone; the lendable parts
/// may be lent to other zones.
class QuotaHolding {
public:
  constexpr QuotaHolding() = default;
  constexpr QuotaHolding(QuotaShare Floor, QuotaShare Lendable)
      : Floor_(Floor), Lendable_(Lendable) {}

  constexpr QuotaShare floor() const { return Floor_; }
  constexpr QuotaShare lendable() const { return Lendable_; }
  constexpr QuotaShare total() const { return Floor_ + Lendable_; }

  /// Returns up to \p Wanted parts of this holding, floor parts first.
  constexpr QuotaHolding pick(QuotaShare Wanted) const {
    const QuotaShare Some = QuotaShare::atLeastZero(Wanted);
    const QuotaShare OfFloor = QuotaShare::smaller(Some, Floor_);
    return {OfFloor, QuotaShare::smaller(Some - OfFloor, Lendable_)};
  }

  /// Returns one of \p Count equal holdings, rounded down.
  constexpr QuotaHolding dividedBy(std::int64_t Count) const {
    return {{Floor_.rateParts() / Count, Floor_.burstParts() / Count},
            {Lendable_.rateParts() / Count, Lendable_.burstParts() / Count}};
  }

  friend constexpr QuotaHolding operator+(QuotaHolding A, QuotaHolding B) {
    return {A.Floor_ + B.Floor_, A.Lendable_ + B.Lendable_};
  }
  friend constexpr QuotaHolding operator-(QuotaHolding A, QuotaHolding B) {
    return {A.Floor_ - B.Floor_, A.Lendable_ - B.Lendable_};
  }
  friend constexpr bool operator==(QuotaHolding, QuotaHolding) = default;

private:
  QuotaShare Floor_;
  QuotaShare Lendable_;
};

} // namespace ebony::quota

#endif
