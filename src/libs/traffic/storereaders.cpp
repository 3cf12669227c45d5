#include "traffic/storereaders.h"

#include <algorithm>

namespace ebony::traffic {

bool readsForRegion(const MemberReport &OwnReport, const MemberTable &Members,
                    base::TimePoint Now) {
  if (OwnReport.IsLeaving_ || !OwnReport.IsCurrent_)
    return false;
  const std::vector<const MemberReport *> Others = Members.live(Now);
  return std::none_of(
      Others.begin(), Others.end(), [&OwnReport](const MemberReport *Other) {
        return Other->Region_ == OwnReport.Region_ && !Other->IsLeaving_ &&
               Other->IsCurrent_ && Other->Name_ < OwnReport.Name_;
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
