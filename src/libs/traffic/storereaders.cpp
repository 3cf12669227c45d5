#include "traffic/storereaders.h"

#include <algorithm>

namespace ebony::traffic {

bool readsForRegion(const MemberReport &Own, const MemberTable &Members,
                    base::TimePoint Now) {
  if (Own.IsLeaving_ || !Own.IsCurrent_)
    return false;
  const std::vector<const MemberReport *> Others = Members.live(Now);
  return std::none_of(
      Others.begin(), Others.end(), [&Own](const MemberReport *One) {
        return One->Region_ == Own.Region_ && !One->IsLeaving_ &&
               One->IsCurrent_ && One->Name_ < Own.Name_;
      });
}

std::optional<base::TimePoint> confirmedTime(const FreshnessClaim &Claim,
                                             std::int64_t OwnIncarnation,
                                             base::TimePoint Now) {
  if (Claim.EchoIncarnation_ != OwnIncarnation || Claim.EchoSentAt_ > Now ||
      Claim.Age_ < base::Duration::zero())
    return std::nullopt;
  return Claim.EchoSentAt_ - Claim.Age_;
}

} // namespace ebony::traffic
