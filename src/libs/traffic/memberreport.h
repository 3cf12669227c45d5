#ifndef EBONY_TRAFFIC_MEMBERREPORT_H
#define EBONY_TRAFFIC_MEMBERREPORT_H

#include "base/name.h"
#include "base/time.h"
#include "traffic/crashreport.h"
#include "traffic/evacuations.h"
#include "traffic/nametag.h"
#include "traffic/reportedlimit.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace ebony::traffic {

/// State that each VM sends to the others a few times per second.
struct MemberReport {
  std::string Name_;
  /// Identifies the process; a later start has a higher number.
  std::int64_t Incarnation_ = 0;
  /// Address for callers.
  std::string CallerAddress_;
  base::ZoneName Zone_;
  base::RegionName Region_;
  bool IsReady_ = false;
  bool IsLeaving_ = false;
  /// Whether the VM's copy of the store data is fresh enough to accept keys.
  bool IsCurrent_ = false;
  /// Whether the VM has lost the way to all upstreams, so that it relays its
  /// callers' requests to other VMs.
  bool ReachesNoUpstream_ = false;
  /// Version of the quota plan that the VM has applied.
  std::int64_t QuotaPlanVersion_ = 0;
  /// CPU share of the VM in thousandths of a core.
  int CorePermille_ = 0;
  /// Requests in flight by the tag of the upstream's name.
  std::map<NameTag, int> InFlight_;
  /// Time of sending by the sender's clock.
  base::TimePoint Sent_{};
  /// Requests per second by the tag of the customer's name. Empty in reports
  /// to VMs that do not compute quota plans.
  std::map<NameTag, double> Demand_;
  /// Request rates that upstreams have named, by the tag of their run.
  std::map<NameTag, ReportedLimit> Limits_;
  /// Requests that were under way when upstreams ended.
  CrashReport Crashes_;
  /// Evacuated zones as the VM knows them from the store.
  Evacuations Evacuations_;
  /// Times for which upstreams stay cold by what the VM knows from the store,
  /// by the tag of their name.
  std::map<NameTag, base::Duration> Cold_;
  /// Age of the VM's news of the store; std::nullopt if it had none.
  std::optional<base::Duration> StoreNewsAge_;

  friend bool operator==(const MemberReport &, const MemberReport &) = default;
};

} // namespace ebony::traffic

#endif
