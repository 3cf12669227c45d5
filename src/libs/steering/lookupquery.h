#ifndef EBONY_STEERING_LOOKUPQUERY_H
#define EBONY_STEERING_LOOKUPQUERY_H

#include "base/name.h"
#include "steering/clientaddress.h"

namespace ebony::steering {

/// Client and customer for which a caller looks up entry VMs.
struct LookupQuery {
  ClientAddress Client_;
  base::CustomerName Customer_;

  friend bool operator==(const LookupQuery &, const LookupQuery &) = default;
};

} // namespace ebony::steering

#endif
