#ifndef EBONY_TRAFFIC_MEMBERTABLE_H
#define EBONY_TRAFFIC_MEMBERTABLE_H

#include "base/randomengine.h"
#include "base/time.h"
#include "traffic/memberreport.h"

#include <optional>
#include <set>
#include <vector>

namespace ebony::traffic {

/// Last reports of the other VMs of the fleet.
class MemberTable {
public:
  /// A VM without a report for \p MemberTimeout is no longer live.
  MemberTable(std::string OwnName, base::Duration MemberTimeout)
      : OwnName_(std::move(OwnName)), MemberTimeout_(MemberTimeout) {}

  /// Records a report unless a later incarnation of the VM is known. Returns
  /// true if the VM is new, live again, or has restarted.
  bool recordReport(const MemberReport &Report, base::TimePoint Now);

  /// Returns the last reports of the live VMs, sorted by name.
  std::vector<const MemberReport *> live(base::TimePoint Now) const;

  /// Returns the sorted names of all live VMs and this one.
  std::vector<std::string> liveNames(base::TimePoint Now) const;

  /// Records the VMs that the store lists.
  void setListed(const std::set<std::string> &Names, base::TimePoint Now);

  /// Returns whether the VMs that the store lists are known.
  bool isListKnown() const { return IsListKnown_; }

  /// Returns the names of the VMs, this one excluded, that may act on what all
  /// VMs share, such as the request rate of a cold upstream. Besides the live
  /// VMs these are the ones that fell silent a short time ago, or that are
  /// listed and not heard of yet: they may be running and cut off.
  std::vector<std::string> sharingNames(base::TimePoint Now) const;

  /// Returns how many VMs reported at \p Since or later.
  std::size_t countHeardSince(base::TimePoint Since) const;

  /// Returns how many VMs last reported between two times, and not that they
  /// leave.
  std::size_t countSilent(base::TimePoint From, base::TimePoint To) const;

  /// Returns the time of the newest news of the store that other VMs had by
  /// their reports; std::nullopt if they had none.
  std::optional<base::TimePoint> newestStoreNews() const;

  /// Returns the last report of a VM, regardless of its age.
  const MemberReport *find(const std::string &Name) const;
  bool isLive(const std::string &Name, base::TimePoint Now) const;

  /// Returns whether a VM's last report names \p Region.
  bool isInRegion(const std::string &Name,
                  const base::RegionName &Region) const;

  /// Returns the requests in flight from other live VMs for each upstream.
  std::map<NameTag, int> inFlightElsewhere(base::TimePoint Now) const;

private:
  struct Member {
    MemberReport Report_;
    base::TimePoint LastReportAt_{};
  };

  bool isLive(const Member &Candidate, base::TimePoint Now) const {
    return Now - Candidate.LastReportAt_ <= MemberTimeout_;
  }

  std::string OwnName_;
  base::Duration MemberTimeout_;
  std::map<std::string, Member> Members_;
  /// Listed VMs with the time at which their listing became known.
  std::map<std::string, base::TimePoint> Listed_;
  bool IsListKnown_ = false;
};

} // namespace ebony::traffic

#endif
