#ifndef EBONY_STEERING_LOOKUPSETTINGS_H
#define EBONY_STEERING_LOOKUPSETTINGS_H

#include "base/time.h"

#include <cstddef>

namespace ebony::steering {

/// Size and times to live of lookup answers.
struct LookupSettings {
  std::size_t VmsPerAnswer_ = 3;
  base::Duration SteadyTimeToLive_ = std::chrono::seconds(30);
  base::Duration ChangingTimeToLive_ = std::chrono::seconds(3);

  friend bool operator==(const LookupSettings &,
                         const LookupSettings &) = default;
};

} // namespace ebony::steering

#endif
