#ifndef EBONY_WIRE_ENDPOINT_H
#define EBONY_WIRE_ENDPOINT_H

#include <cstdint>
#include <string>
#include <tuple>

namespace ebony::wire {

/// IP address and TCP port of a process.
struct Endpoint {
  std::string Address_;
  std::uint16_t Port_ = 0;

  friend bool operator==(const Endpoint &, const Endpoint &) = default;
  friend bool operator<(const Endpoint &Left, const Endpoint &Right) {
    return std::tie(Left.Address_, Left.Port_) <
           std::tie(Right.Address_, Right.Port_);
  }
};

/// Returns "<address>:<port>".
std::string toText(const Endpoint &Value);

} // namespace ebony::wire

#endif
