#ifndef EBONY_STEERING_CLIENTBLOCKMAP_H
#define EBONY_STEERING_CLIENTBLOCKMAP_H

#include "steering/prefixtable.h"

#include <cstdint>
#include <vector>

namespace ebony::steering {

/// Map of client blocks to sites with longest-prefix match. Immutable: applying
/// a delta returns a new map, and readers continue with the old one meanwhile.
class ClientBlockMap {
public:
  ClientBlockMap() = default;

  /// Returns this map with \p Changes applied, at \p Revision.
  ClientBlockMap withChanges(const std::vector<BlockChange> &Changes,
                             std::int64_t Revision) const;

  std::int64_t revision() const { return Revision_; }

  /// Returns the site of \p Client, or std::nullopt when no block contains it.
  std::optional<SiteNumber> find(const ClientAddress &Client) const {
    return tableFor(Client.Family_).find(Client.Key_);
  }

  std::size_t size() const { return IPv4_.size() + IPv6_.size(); }

  /// Returns the size of the tables in bytes.
  std::size_t memoryBytes() const {
    return IPv4_.memoryBytes() + IPv6_.memoryBytes();
  }

private:
  const PrefixTable &tableFor(Family AddressFamily) const {
    return AddressFamily == Family::IPv4 ? IPv4_ : IPv6_;
  }

  PrefixTable IPv4_;
  PrefixTable IPv6_;
  std::int64_t Revision_ = 0;
};

} // namespace ebony::steering

#endif
