#ifndef EBONY_TRAFFIC_QUOTALENDERSELECTOR_H
#define EBONY_TRAFFIC_QUOTALENDERSELECTOR_H

#include "traffic/membertable.h"
#include "traffic/quotaplan.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ebony::traffic {

/// Selects the VM to borrow a token from when this VM's own share of a
/// customer's rate is used up.
///
/// Load pattern: a hundred customers on a hundred VMs, where each VM gets a
/// request of most customers every few seconds; a few customers far above their
/// rate at all VMs.
class QuotaLenderSelector {
public:
  QuotaLenderSelector(std::string OwnName, base::RegionName OwnRegion)
      : OwnName_(std::move(OwnName)), OwnRegion_(std::move(OwnRegion)) {}

  /// Returns the VM to ask next, or std::nullopt if none is left. VMs of the
  /// own region are preferred, and VMs known to have no tokens are skipped.
  std::optional<std::string> selectNext(const QuotaPlan &Plan,
                                        const MemberTable &Members,
                                        const base::CustomerName &Customer,
                                        const std::vector<std::string> &Asked,
                                        base::TimePoint Now) const;

  /// Records that \p Vm has no tokens for the customer until \p Until.
  void recordEmpty(const base::CustomerName &Customer, const std::string &Vm,
                   base::TimePoint Until) {
    EmptyUntil_[{Customer, Vm}] = Until;
  }

  /// Returns the time until the first of the VMs without tokens may have one
  /// again, or \p Default if there is no such VM.
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
