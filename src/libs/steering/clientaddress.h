#ifndef EBONY_STEERING_CLIENTADDRESS_H
#define EBONY_STEERING_CLIENTADDRESS_H

#include "base/finding.h"

#include <compare>
#include <cstdint>
#include <string>

namespace ebony::steering {

/// IP address family.
enum class Family : std::uint8_t { IPv4, IPv6 };

/// Address of a client as a 64-bit key: the upper 64 bits of an IPv6 address,
/// or an IPv4 address in the upper 32 bits.
struct ClientAddress {
  Family Family_ = Family::IPv4;
  std::uint64_t Key_ = 0;

  friend bool operator==(const ClientAddress &,
                         const ClientAddress &) = default;
};

/// Parses an address such as "10.1.2.3" or "2001:db8::1".
base::Checked<ClientAddress> parseClientAddress(const std::string &Text);

} // namespace ebony::steering

#endif
