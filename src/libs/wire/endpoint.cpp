#include "wire/endpoint.h"

namespace ebony::wire {

std::string toText(const Endpoint &Value) {
  return Value.Address_ + ":" + std::to_string(Value.Port_);
}

} // namespace ebony::wire
