#include "vm/responsenotices.h"

#include "vm/headerfields.h"

#include <algorithm>

namespace ebony::vm {

using telemetry::EventLine;
using traffic::AttemptResult;

namespace {

// Longest time for which an upstream is believed to want no requests.
constexpr double MaxQuietSeconds = 60;

// Bytes of a header field that are logged.
constexpr std::size_t MaxLoggedBytes = 32;

} // namespace

void ResponseNotices::record(traffic::UpstreamState &Upstream,
                             const UpstreamAttempt &Attempt,
                             const std::string &RequestId, AttemptResult Result,
                             base::TimePoint Started) {
  recordNamedLimit(Upstream, Attempt, RequestId, Result, Started);
  // Another upstream has sent a misdirected response, and a response whose head
  // belongs to another request may be older than this one.
  const bool IsOwnResponse =
      Result != AttemptResult::Misdirected && Attempt.hasResponse() &&
      valueOf(Attempt.fields(), State_.Platform_.Headers_.RequestId_) ==
          RequestId;
  if (!IsOwnResponse)
    return;
  recordLeaving(Upstream, Attempt, RequestId);
  recordQuiet(Upstream, Attempt, RequestId, Started);
}

void ResponseNotices::recordLeaving(traffic::UpstreamState &Upstream,
                                    const UpstreamAttempt &Attempt,
                                    const std::string &RequestId) {
  const bool IsLeaving =
      valueOf(Attempt.fields(), State_.Platform_.Headers_.Leaving_) == "1";
  if (!IsLeaving)
    return;
  if (!State_.Upstreams_.recordLeaving(Upstream))
    return;
  State_.Metrics_.LeavingUpstreams_.add();
  State_.log(
      EventLine("upstream-leaving")
          .add("id", RequestId)
          .add("upstream", Upstream.Entry_.Name_.text())
          .add("started", Upstream.Entry_.StartedUnixMs_)
          .add("entry", Upstream.Entry_.IsDraining_ ? "draining" : "ready")
          .add("listed", Upstream.IsListed_ ? 1 : 0)
          .add("store_news_ms",
               State_.StoreNews_.age(State_.now()).count() / 1000));
}

void ResponseNotices::recordQuiet(traffic::UpstreamState &Upstream,
                                  const UpstreamAttempt &Attempt,
                                  const std::string &RequestId,
                                  base::TimePoint Started) {
  constexpr unsigned Unavailable = 503;
  const std::string_view Text = Attempt.status() == Unavailable
                                    ? valueOf(Attempt.fields(), "Retry-After")
                                    : std::string_view();
  if (Text.empty()) {
    endTrial(Upstream, RequestId, Started);
    return;
  }
  const auto Seconds = parseDecimal(Text);
  const base::Duration Asked =
      base::fromSeconds(std::min(Seconds.value_or(0), MaxQuietSeconds));
  const base::TimePoint Now = State_.now();
  // All requests under way at the upstream may get such a response, and one
  // that asks for no time may come with each refusal.
  const bool IsLogged = Asked > base::Duration::zero()
                            ? !Upstream.isQuiet(Now)
                            : !Upstream.HasOddQuietTime_;
  Upstream.HasOddQuietTime_ = Asked == base::Duration::zero();
  if (Asked > base::Duration::zero())
    State_.Upstreams_.recordQuiet(Upstream, Now + Asked);
  if (IsLogged)
    State_.log(EventLine("upstream-quiet")
                   .add("id", RequestId)
                   .add("upstream", Upstream.Entry_.Name_.text())
                   .add("asked", std::string(Text.substr(0, MaxLoggedBytes)))
                   .add("for_ms", Asked.count() / 1000)
                   .add("in_flight", Upstream.InFlight_));
}

void ResponseNotices::endTrial(traffic::UpstreamState &Upstream,
                               const std::string &RequestId,
                               base::TimePoint Started) {
  if (!Upstream.endTrial(Started))
    return;
  State_.log(EventLine("upstream-quiet-ended")
                 .add("id", RequestId)
                 .add("upstream", Upstream.Entry_.Name_.text()));
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
