#ifndef EBONY_TRAFFIC_ENTRYDIRECTORY_H
#define EBONY_TRAFFIC_ENTRYDIRECTORY_H

#include "traffic/membertable.h"

namespace ebony::traffic {

/// Names the entry VMs that a caller may use: those of its region, and all
/// others only when its region has none.
///
/// Load pattern: zones with one VM beside zones with three, under the same
/// number of callers; callers choose at random among those named.
class EntryDirectory {
public:
  EntryDirectory(std::size_t Most, base::RandomEngine Random)
      : Most_(Most), Random_(Random) {}

  /// Addresses for a caller of \p Region. \p Own stands for this VM. VMs with
  /// a larger share of a core are named more often.
  std::vector<std::string> resolve(const base::RegionName &Region,
                                   const MemberReport &Own,
                                   const MemberTable &Members,
                                   base::TimePoint Now);

private:
  std::size_t Most_;
  base::RandomEngine Random_;
};

} // namespace ebony::traffic

#endif
