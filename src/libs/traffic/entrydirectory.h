#ifndef EBONY_TRAFFIC_ENTRYDIRECTORY_H
#define EBONY_TRAFFIC_ENTRYDIRECTORY_H

#include "traffic/membertable.h"

namespace ebony::traffic {

/// Selects the entry VMs that a caller may use: those of its region, or those
/// of other regions if its own has none.
///
/// Load pattern: zones with one VM and zones with three under the same number
/// of callers; VMs that lose the way to the store or to all upstreams. Callers
/// choose at random among the addresses returned.
class EntryDirectory {
public:
  EntryDirectory(std::size_t MaxAddresses, base::RandomEngine Random)
      : MaxAddresses_(MaxAddresses), Random_(Random) {}

  /// Returns addresses for a caller of \p Region. \p OwnReport describes this
  /// VM. VMs with a larger share of a core are returned more often.
  std::vector<std::string> resolve(const base::RegionName &Region,
                                   const MemberReport &OwnReport,
                                   const MemberTable &Members,
                                   base::TimePoint Now);

private:
  std::size_t MaxAddresses_;
  base::RandomEngine Random_;
};

} // namespace ebony::traffic

#endif
