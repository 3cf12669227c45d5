#ifndef EBONY_STEERING_BLOCKCHANGE_H
#define EBONY_STEERING_BLOCKCHANGE_H

#include "steering/clientblock.h"

#include <optional>

namespace ebony::steering {

/// Change of a client block: assigns the block to a site, or removes the block
/// when there is no site.
struct BlockChange {
  ClientBlock Block_;
  std::optional<SiteNumber> Site_ = {};

  friend bool operator==(const BlockChange &, const BlockChange &) = default;
};

} // namespace ebony::steering

#endif
