#ifndef EBONY_LOAD_ENDPOINT_H
#define EBONY_LOAD_ENDPOINT_H

#include <cstdint>
#include <string>

namespace ebony::load {

/// Address and port of an HTTP server.
struct Endpoint {
  std::string Address_;
  std::uint16_t Port_ = 0;

  friend bool operator==(const Endpoint &, const Endpoint &) = default;
};

} // namespace ebony::load

#endif
