#ifndef EBONY_STEERING_CUSTOMERLOAD_H
#define EBONY_STEERING_CUSTOMERLOAD_H

#include "base/name.h"

namespace ebony::steering {

/// Customer with the rate that it pays for, in requests per second.
struct CustomerLoad {
  base::CustomerName Customer_;
  double Rate_ = 0;

  friend bool operator==(const CustomerLoad &, const CustomerLoad &) = default;
};

} // namespace ebony::steering

#endif
