#ifndef EBONY_UPSTREAMSTANDIN_CONTROLSERVICE_H
#define EBONY_UPSTREAMSTANDIN_CONTROLSERVICE_H

#include "standin/httpservice.h"
#include "upstreamstandin/target.h"

#include <memory>
#include <vector>

namespace ebony::upstreamstandin {

/// Sets the injected faults of all targets of one process and serves their
/// ledger over HTTP.
class ControlService final : public standin::HttpService {
public:
  /// \p Targets must outlive the service.
  explicit ControlService(const std::vector<std::unique_ptr<Target>> &Targets)
      : Targets_(Targets) {}

  standin::HttpAnswer serve(const standin::HttpCall &Call,
                            std::istream &Body) override;

private:
  standin::HttpAnswer applyOrders(const std::string &Text);
  standin::HttpAnswer ledger() const;

  const std::vector<std::unique_ptr<Target>> &Targets_;
};

} // namespace ebony::upstreamstandin

#endif
