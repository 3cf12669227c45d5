#ifndef EBONY_STEERING_CLIENTBLOCK_H
#define EBONY_STEERING_CLIENTBLOCK_H

#include "steering/clientaddress.h"

#include <cstdint>
#include <string>

namespace ebony::steering {

/// Index of a site in the order of the configuration.
using SiteNumber = std::uint16_t;

/// Prefix of client addresses. Bits of the key past the length are zero. IPv6
/// prefixes have at most 64 bits.
struct ClientBlock {
  Family Family_ = Family::IPv4;
  std::uint64_t Key_ = 0;
  std::uint8_t Length_ = 0;

  /// Returns the last key of the block.
  std::uint64_t lastKey() const;

  friend bool operator==(const ClientBlock &, const ClientBlock &) = default;
};

/// Parses a block such as "10.1.0.0/16" or "2001:db8::/48".
base::Checked<ClientBlock> parseClientBlock(const std::string &Text);

} // namespace ebony::steering

#endif
