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
  auto Result = std::make_unique<Job>();
  Result->Id_ = nextJobId();
  Result->Service_ = State_.Splits_.choose(Rules.version(), Route);
  Result->Route_ = Route.Name_;
  Result->RetryPolicy_ = Route.RetryPolicy_;
  Result->Priority_ = Route.Priority_;
  Result->HomeRegions_ = Route.HomeRegions_;
  if (Customer) {
    Result->Customer_ = Customer->Name_;
    if (Customer->Priority_ >= 0)
      Result->Priority_ = Customer->Priority_;
    if (Result->HomeRegions_.empty()) {
      Result->HomeRegions_ = Customer->HomeRegions_;
    } else if (!Customer->HomeRegions_.empty()) {
      std::erase_if(Result->HomeRegions_, [&](const base::RegionName &Region) {
        return std::find(Customer->HomeRegions_.begin(),
                         Customer->HomeRegions_.end(),
                         Region) == Customer->HomeRegions_.end();
      });
      // Route and customer have no home region in common: an unnamed region
      // matches none, so the request is not served.
      if (Result->HomeRegions_.empty())
        Result->HomeRegions_.emplace_back();
    }
  }
  Result->LatencyObjective_ = Route.LatencyObjective_;
  Result->Arrived_ = Arrived;
  Result->ObjectiveDeadline_ = Result->Arrived_ + Route.LatencyObjective_;
  const std::string_view Object =
      cookieOf(*Request.Fields_, State_.Platform_.Headers_.ObjectCookie_);
  Result->ObjectHash_ = Object.empty()
                            ? base::mixBits(base::stableHash(Request.Id_))
                            : base::stableHash(Object);
  State_.Budget_.recordRequest(Result->Service_, Result->Arrived_);
  return Result;
}

} // namespace ebony::vm
