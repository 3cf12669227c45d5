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
                                      const traffic::RouteTerms &Route,
                                      const traffic::CustomerTerms *Customer,
                                      base::TimePoint Arrived) {
  auto Result = std::make_unique<Job>();
  Result->Id_ = nextJobId();
  Result->Service_ = State_.Splits_.choose(Rules.version(), Route);
  Result->Route_ = Route.Name_;
  Result->Repeats_ = Route.Repeats_;
  Result->Priority_ = Route.Priority_;
  Result->Homes_ = Route.Homes_;
  if (Customer) {
    Result->Customer_ = Customer->Name_;
    if (Customer->Priority_ >= 0)
      Result->Priority_ = Customer->Priority_;
    if (Result->Homes_.empty()) {
      Result->Homes_ = Customer->Homes_;
    } else if (!Customer->Homes_.empty()) {
      std::erase_if(Result->Homes_, [&](const base::RegionName &Region) {
        return std::find(Customer->Homes_.begin(), Customer->Homes_.end(),
                         Region) == Customer->Homes_.end();
      });
      // Route and customer have no home region in common: an unnamed region
      // matches none, so the request is not served.
      if (Result->Homes_.empty())
        Result->Homes_.emplace_back();
    }
  }
  Result->Objective_ = Route.Objective_;
  Result->Arrived_ = Arrived;
  Result->Due_ = Result->Arrived_ + Route.Objective_;
  const std::string_view Object =
      cookieOf(*Request.Fields_, State_.Platform_.Headers_.ObjectCookie_);
  Result->ObjectHash_ = Object.empty()
                            ? base::mixBits(base::stableHash(Request.Id_))
                            : base::stableHash(Object);
  State_.Budget_.noteRequest(Result->Service_, Result->Arrived_);
  return Result;
}

} // namespace ebony::vm
