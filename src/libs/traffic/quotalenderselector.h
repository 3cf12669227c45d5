#ifndef EBONY_TRAFFIC_QUOTALENDERSELECTOR_H
#define EBONY_TRAFFIC_QUOTALENDERSELECTOR_H

#include "traffic/membertable.h"
#include "traffic/quotaplan.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ebony::traffic {

/// Chooses which VM is asked for a part of its share when this VM's own share
/// of a customer's rate is used up.
///
/// Load pattern: a hundred customers on a hundred VMs, each VM seeing a request
/// of most of them every few seconds; a few customers that press far beyond
/// their rate everywhere.
class QuotaLenderSelector {
public:
  QuotaLenderSelector(std::string OwnName, base::RegionName OwnRegion)
      : OwnName_(std::move(OwnName)), OwnRegion_(std::move(OwnRegion)) {}

  /// The VM to ask next; those of the own region come first, and those known
  /// to have nothing are passed over. Nothing when no other is left.
  std::optional<std::string> selectNext(const QuotaPlan &Plan,
                                        const MemberTable &Members,
                                        const base::CustomerName &Customer,
                                        const std::vector<std::string> &Asked,
                                        base::TimePoint Now) const;

  /// Notes that \p Vm has nothing for the customer until \p Until.
  void recordEmpty(const base::CustomerName &Customer, const std::string &Vm,
                   base::TimePoint Until) {
    EmptyUntil_[{Customer, Vm}] = Until;
  }

  /// Time until the first VM that is known to have nothing may have something;
  /// \p Default when none is known.
  base::Duration retryDelay(const base::CustomerName &Customer,
                            base::TimePoint Now, base::Duration Default) const;

private:
  bool isEmpty(const base::CustomerName &Customer, const std::string &Vm,
               base::TimePoint Now) const;

  std::string OwnName_;
  base::RegionName OwnRegion_;
  std::map<std::pair<base::CustomerName, std::string>, base::TimePoint>
      EmptyUntil_;
};

} // namespace ebony::traffic

#endif
