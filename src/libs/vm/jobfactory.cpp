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

std::vector<base::RegionName>
JobFactory::homeRegions(const traffic::RouteSettings &Route,
                        const traffic::CustomerSettings *Customer) {
  std::vector<base::RegionName> Result = Route.HomeRegions_;
  if (!Customer || Customer->HomeRegions_.empty())
    return Result;
  if (Result.empty())
    return Customer->HomeRegions_;
  std::erase_if(Result, [&](const base::RegionName &Region) {
    return std::find(Customer->HomeRegions_.begin(),
                     Customer->HomeRegions_.end(),
                     Region) == Customer->HomeRegions_.end();
  });
  // Route and customer have no home region in common: an unnamed region matches
  // none, so the request is not served.
  if (Result.empty())
    Result.emplace_back();
  return Result;
}

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
  One->HomeRegions_ = homeRegions(Route, Customer);
  if (Customer) {
    One->Customer_ = Customer->Name_;
    if (Customer->Priority_ >= 0)
      One->Priority_ = Customer->Priority_;
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
