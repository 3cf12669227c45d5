#include "vm/responsenotices.h"

#include "vm/headerfields.h"

namespace ebony::vm {

using traffic::AttemptResult;

void ResponseNotices::record(traffic::UpstreamState &Upstream,
                             const UpstreamAttempt &Attempt,
                             const std::string &RequestId, AttemptResult Result,
                             base::TimePoint Started) {
  recordNamedLimit(Upstream, Attempt, RequestId, Result, Started);
}

void ResponseNotices::recordNamedLimit(traffic::UpstreamState &Upstream,
                                       const UpstreamAttempt &Attempt,
                                       const std::string &RequestId,
                                       AttemptResult Result,
                                       base::TimePoint Started) {
  const bool HasResponse = Result == AttemptResult::Answered ||
                           Result == AttemptResult::Failed ||
                           Result == AttemptResult::Shed;
  if (!HasResponse)
    return;
  if (Upstream.Limit_.isInForce())
    State_.Metrics_.SendsToLimited_.add();
  const auto Rate = parseDecimal(
      valueOf(Attempt.fields(), State_.Platform_.Headers_.RateLimit_));
  // A failure may come from a part of the upstream that does not know of the
  // limit, so that only a success shows its end.
  if (!Rate && Result != AttemptResult::Answered)
    return;
  const traffic::NamedLimit Before = Upstream.Limit_;
  traffic::Dispatcher::recordNamedLimit(Upstream, Rate, Started, State_.now());
  if (!Before.differsInForce(Upstream.Limit_))
    return;
  State_.logNamedLimit(Upstream, "id", RequestId);
  State_.AreReportsDue_ = true;
}

} // namespace ebony::vm
