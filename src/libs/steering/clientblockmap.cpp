#include "steering/clientblockmap.h"

#include <iterator>
#include <utility>

namespace ebony::steering {

ClientBlockMap
ClientBlockMap::withChanges(const std::vector<BlockChange> &Changes,
                            std::int64_t Revision) const {
  std::vector<BlockChange> IPv4Changes;
  std::vector<BlockChange> IPv6Changes;
  for (const BlockChange &Change : Changes)
    (Change.Block_.Family_ == Family::IPv4 ? IPv4Changes : IPv6Changes)
        .push_back(Change);
  ClientBlockMap Result(*this);
  if (!IPv4Changes.empty())
    Result.IPv4_ = IPv4_.withChanges(std::move(IPv4Changes));
  if (!IPv6Changes.empty())
    Result.IPv6_ = IPv6_.withChanges(std::move(IPv6Changes));
  Result.Revision_ = Revision;
  return Result;
}

} // namespace ebony::steering
