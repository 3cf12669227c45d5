#ifndef EBONY_TRAFFIC_MEMBERREPORT_H
#define EBONY_TRAFFIC_MEMBERREPORT_H

#include "base/name.h"
#include "base/time.h"
#include "traffic/nametag.h"

#include <cstdint>
#include <map>
#include <string>

namespace ebony::traffic {

/// What one VM tells the others a few times a second.
struct MemberReport {
  std::string Name_;
  /// Start of the process; a later start has a higher number.
  std::int64_t Incarnation_ = 0;
  /// Address that callers use.
  std::string CallerAddress_;
  base::ZoneName Zone_;
  base::RegionName Region_;
  bool IsReady_ = false;
  bool IsLeaving_ = false;
  /// Whether the VM's knowledge of the store is fresh, so that it serves
  /// requests with keys.
  bool IsCurrent_ = false;
  /// Version of the quota plan that is in force there.
  std::int64_t QuotaPlanVersion_ = 0;
  /// Share of a core that the VM has, in thousandths.
  int CorePermille_ = 0;
  /// By the upstream's name.
  std::map<NameTag, int> InFlight_;
  /// When the report was sent, by the clock of the VM that sent it.
  base::TimePoint Sent_{};
  /// Requests a second that each customer asks for there, by its name. Empty
  /// in reports to VMs that do not plan.
  std::map<NameTag, double> Demand_;

  friend bool operator==(const MemberReport &, const MemberReport &) = default;
};

} // namespace ebony::traffic

#endif
