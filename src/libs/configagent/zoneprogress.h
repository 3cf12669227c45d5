#ifndef EBONY_CONFIGAGENT_ZONEPROGRESS_H
#define EBONY_CONFIGAGENT_ZONEPROGRESS_H

#include "base/time.h"
#include "configagent/pullmessages.h"

#include <map>

namespace ebony::configagent {

/// Revisions that the members of one zone have applied, as reported to one
/// relay.
class ZoneProgress {
public:
  void record(const MemberProgress &Progress, base::TimePoint Now);

  /// Returns the members that reported within the last few seconds.
  std::vector<MemberProgress> recentMembers(base::TimePoint Now) const;

private:
  struct ProgressReport {
    MemberProgress Progress_;
    base::TimePoint ReportedAt_;
  };

  std::map<base::VmAddress, ProgressReport> Members_;
};

} // namespace ebony::configagent

#endif
