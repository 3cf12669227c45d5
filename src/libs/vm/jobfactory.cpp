#include "vm/jobfactory.h"

#include "base/hashing.h"
#include "vm/headerfields.h"

#include <algorithm>

namespace ebony::vm {

namespace {

using traffic::Job;

traffic::JobId nextJobId() {
  static traffic::JobId Last = 0;
  return ++Last;
}

} // namespace

std::unique_ptr<Job> JobFactory::make(const CallerRequest &Request,
                                      const traffic::TrafficRules &Rules,
                                      const traffic::RouteSettings &Route,
                                      const traffic::CustomerSettings *Customer,
                                      base::TimePoint Arrived) {
  auto One = std::make_unique<Job>();
  One->Id_ = nextJobId();
  One->Service_ = State_.Splitter_.choose(Rules.version(), Route);
  One->Route_ = Route.Name_;
  One->RetryPolicy_ = Route.RetryPolicy_;
  One->Priority_ = Route.Priority_;
  One->HomeRegions_ = Route.HomeRegions_;
  if (Customer) {
    One->Customer_ = Customer->Name_;
    if (Customer->Priority_ >= 0)
      One->Priority_ = Customer->Priority_;
    if (One->HomeRegions_.empty()) {
      One->HomeRegions_ = Customer->HomeRegions_;
    } else if (!Customer->HomeRegions_.empty()) {
      std::erase_if(One->HomeRegions_, [&](const base::RegionName &Region) {
        return std::find(Customer->HomeRegions_.begin(),
                         Customer->HomeRegions_.end(),
                         Region) == Customer->HomeRegions_.end();
      });
      // Route and customer have no home region in common: an unnamed region
      // matches none, so the request is not served.
      if (One->HomeRegions_.empty())
        One->HomeRegions_.emplace_back();
    }
  }
  One->LatencyObjective_ = Route.LatencyObjective_;
  One->Arrived_ = Arrived;
  One->ObjectiveDeadline_ = One->Arrived_ + Route.LatencyObjective_;
  const std::string_view Object =
      cookieOf(Request.Fields_, State_.Platform_.Headers_.ObjectCookie_);
  One->ObjectHash_ = Object.empty()
                         ? base::mixBits(base::stableHash(Request.Id_))
                         : base::stableHash(Object);
  State_.Budget_.recordRequest(One->Service_, One->Arrived_);
  return One;
}

} // namespace ebony::vm
