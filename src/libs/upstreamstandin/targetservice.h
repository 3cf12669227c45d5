#ifndef EBONY_UPSTREAMSTANDIN_TARGETSERVICE_H
#define EBONY_UPSTREAMSTANDIN_TARGETSERVICE_H

#include "base/clock.h"
#include "standin/httpservice.h"
#include "upstreamstandin/target.h"

namespace ebony::upstreamstandin {

/// Serves one target over HTTP: health, load, cancellation and runs.
class TargetService final : public standin::HttpService {
public:
  /// Both arguments must outlive the service.
  TargetService(Target &ServedTarget, const base::Clock &Clock)
      : Target_(ServedTarget), Clock_(Clock) {}

  standin::HttpAnswer serve(const standin::HttpCall &Call,
                            std::istream &Body) override;

private:
  standin::HttpAnswer health() const;
  standin::HttpAnswer load() const;
  standin::HttpAnswer handleRun(const standin::HttpCall &Call,
                                std::istream &Body);
  standin::HttpAnswer executeRun(const standin::HttpCall &Call,
                                 std::istream &Body, Run &ActiveRun);

  Target &Target_;
  const base::Clock &Clock_;
};

} // namespace ebony::upstreamstandin

#endif
