#ifndef EBONY_TRAFFIC_MEMBERTABLE_H
#define EBONY_TRAFFIC_MEMBERTABLE_H

#include "base/randomengine.h"
#include "base/time.h"
#include "traffic/memberreport.h"

#include <optional>
#include <vector>

namespace ebony::traffic {

/// The VMs of the fleet as their reports show them.
class MemberTable {
public:
  /// A VM counts as gone when nothing was heard of it for \p MemberTimeout.
  MemberTable(std::string OwnName, base::Duration MemberTimeout)
      : OwnName_(std::move(OwnName)), MemberTimeout_(MemberTimeout) {}

  /// Takes a report unless a later start of that VM is known. True when the
  /// VM is new, back, or started again.
  bool recordReport(const MemberReport &Report, base::TimePoint Now);

  /// Live VMs, in the order of their names.
  std::vector<const MemberReport *> live(base::TimePoint Now) const;

  /// Names of all live VMs and this one, sorted.
  std::vector<std::string> liveNames(base::TimePoint Now) const;

  /// The last report of a VM, however old.
  const MemberReport *find(const std::string &Name) const;
  bool isLive(const std::string &Name, base::TimePoint Now) const;

  /// Whether a VM's last report came from \p Region.
  bool isInRegion(const std::string &Name,
                  const base::RegionName &Region) const;

  /// Requests in flight at each upstream from all other live VMs.
  std::map<NameTag, int> inFlightElsewhere(base::TimePoint Now) const;

private:
  struct Member {
    MemberReport Report_;
    base::TimePoint LastReportAt_{};
  };

  bool isLive(const Member &One, base::TimePoint Now) const {
    return Now - One.LastReportAt_ <= MemberTimeout_;
  }

  std::string OwnName_;
  base::Duration MemberTimeout_;
  std::map<std::string, Member> Members_;
};

} // namespace ebony::traffic

#endif
