#ifndef EBONY_VM_JOBFACTORY_H
#define EBONY_VM_JOBFACTORY_H

#include "traffic/job.h"
#include "vm/callerrequest.h"
#include "vm/vmstate.h"

#include <memory>

namespace ebony::vm {

/// Creates the dispatcher's job for a caller's request: its service, regions,
/// priority and object.
class JobFactory {
public:
  explicit JobFactory(VmState &State) : State_(State) {}

  /// Returns the regions in which a request may be served; empty if all are
  /// allowed. \p Customer is null on routes that need no key.
  static std::vector<base::RegionName>
  homeRegions(const traffic::RouteSettings &Route,
              const traffic::CustomerSettings *Customer);

  /// Creates the job and counts the request towards its service's retry budget.
  /// \p Customer is null on routes that need no key.
  std::unique_ptr<traffic::Job> make(const CallerRequest &Request,
                                     const traffic::TrafficRules &Rules,
                                     const traffic::RouteSettings &Route,
                                     const traffic::CustomerSettings *Customer,
                                     base::TimePoint Arrived);

private:
  VmState &State_;
};

} // namespace ebony::vm

#endif
