#ifndef EBONY_VM_JOBMAKER_H
#define EBONY_VM_JOBMAKER_H

#include "traffic/job.h"
#include "vm/callerrequest.h"
#include "vm/vmstate.h"

#include <memory>

namespace ebony::vm {

/// Makes the job that a caller's request is placed as: its service, regions,
/// priority and object.
class JobMaker {
public:
  explicit JobMaker(VmState &State) : State_(State) {}

  /// \p Customer is null on routes open to all. Counts the request towards its
  /// service's budget of repeats.
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
