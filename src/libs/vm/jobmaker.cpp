#include "vm/jobmaker.h"

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

std::unique_ptr<Job> JobMaker::make(const CallerRequest &Request,
                                    const traffic::TrafficRules &Rules,
                                    const traffic::RouteTerms &Route,
                                    const traffic::CustomerTerms *Customer,
                                    base::TimePoint Arrived) {
  auto One = std::make_unique<Job>();
  One->Id_ = nextJobId();
  One->Service_ = State_.Splits_.choose(Rules.version(), Route);
  One->Route_ = Route.Name_;
  One->Repeats_ = Route.Repeats_;
  One->Priority_ = Route.Priority_;
  One->Homes_ = Route.Homes_;
  if (Customer) {
    One->Customer_ = Customer->Name_;
    if (Customer->Priority_ >= 0)
      One->Priority_ = Customer->Priority_;
    if (One->Homes_.empty()) {
      One->Homes_ = Customer->Homes_;
    } else if (!Customer->Homes_.empty()) {
      std::erase_if(One->Homes_, [&](const base::RegionName &Region) {
        return std::find(Customer->Homes_.begin(), Customer->Homes_.end(),
                         Region) == Customer->Homes_.end();
      });
      // No region is a home of both: none may serve the request.
      if (One->Homes_.empty())
        One->Homes_.emplace_back();
    }
  }
  One->Objective_ = Route.Objective_;
  One->Arrived_ = Arrived;
  One->Due_ = One->Arrived_ + Route.Objective_;
  const std::string_view Object =
      cookieOf(*Request.Fields_, State_.Platform_.Headers_.ObjectCookie_);
  One->ObjectHash_ = Object.empty()
                         ? base::mixBits(base::stableHash(Request.Id_))
                         : base::stableHash(Object);
  State_.Budget_.noteRequest(One->Service_, One->Arrived_);
  return One;
}

} // namespace ebony::vm
