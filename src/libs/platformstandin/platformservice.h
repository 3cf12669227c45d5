#ifndef EBONY_PLATFORMSTANDIN_PLATFORMSERVICE_H
#define EBONY_PLATFORMSTANDIN_PLATFORMSERVICE_H

#include "base/clock.h"
#include "platformstandin/platformcore.h"
#include "standin/httpservice.h"

namespace ebony::platformstandin {

/// Serves a PlatformCore over HTTP and adds the latency of both directions.
class PlatformService final : public standin::HttpService {
public:
  /// Both arguments must outlive the service.
  PlatformService(PlatformCore &Core, const base::Clock &Clock)
      : Core_(Core), Clock_(Clock) {}

  standin::HttpAnswer serve(const standin::HttpCall &Call,
                            std::istream &Body) override;

private:
  PlatformCore &Core_;
  const base::Clock &Clock_;
};

} // namespace ebony::platformstandin

#endif
