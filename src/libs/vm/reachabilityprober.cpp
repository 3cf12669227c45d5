#include "vm/reachabilityprober.h"

#include "traffic/upstreamhealth.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <map>

namespace ebony::vm {

namespace {

using telemetry::EventLine;

// Connections of a round: to one upstream of each zone, and to further ones if
// there are few zones.
constexpr std::size_t MinProbes = 3;
constexpr std::size_t MaxProbes = 6;

} // namespace

void ReachabilityProber::tick() {
  const base::TimePoint Now = State_.now();
  int InFlight = 0;
  for (const auto &[Name, Upstream] : State_.Upstreams_.all())
    InFlight += Upstream->InFlight_;
  State_.Reachability_.setInFlight(InFlight, Now);
  if (!State_.Reachability_.isProbeDue(State_.Upstreams_.all().size(), Now))
    return;
  const std::vector<traffic::UpstreamPtr> Selected = selectUpstreams();
  const auto Current = std::make_shared<Round>();
  Current->Outcome_.Started_ = Now;
  Current->Pending_ = Selected.size();
  State_.Reachability_.beginProbe(Now);
  for (const traffic::UpstreamPtr &Upstream : Selected)
    boost::asio::co_spawn(State_.Context_, probe(Upstream, Current),
                          boost::asio::detached);
}

std::vector<traffic::UpstreamPtr> ReachabilityProber::selectUpstreams() {
  std::vector<std::pair<double, traffic::UpstreamPtr>> Shuffled;
  Shuffled.reserve(State_.Upstreams_.all().size());
  for (const auto &[Name, Upstream] : State_.Upstreams_.all())
    Shuffled.emplace_back(Random_.unit(), Upstream);
  std::sort(Shuffled.begin(), Shuffled.end(),
            [](const auto &A, const auto &B) { return A.first < B.first; });
  std::map<base::ZoneName, std::size_t> PerZone;
  std::vector<std::pair<std::size_t, traffic::UpstreamPtr>> Ranked;
  Ranked.reserve(Shuffled.size());
  for (auto &[Key, Upstream] : Shuffled)
    Ranked.emplace_back(PerZone[Upstream->Entry_.Zone_]++, Upstream);
  std::stable_sort(
      Ranked.begin(), Ranked.end(),
      [](const auto &A, const auto &B) { return A.first < B.first; });
  const std::size_t Count = std::clamp(PerZone.size(), MinProbes, MaxProbes);
  std::vector<traffic::UpstreamPtr> Result;
  for (std::size_t I = 0; I < std::min(Count, Ranked.size()); ++I)
    Result.push_back(Ranked[I].second);
  return Result;
}

asynckit::awaitable<void>
ReachabilityProber::probe(traffic::UpstreamPtr Upstream,
                          std::shared_ptr<Round> Current) {
  const ProbeResult Result = co_await probeUpstream(State_, Upstream);
  switch (Result) {
  case ProbeResult::Connected:
    ++Current->Outcome_.Connected_;
    break;
  case ProbeResult::Refused:
    ++Current->Outcome_.Refused_;
    break;
  case ProbeResult::Unanswered:
    ++Current->Outcome_.Unanswered_;
    break;
  }
  if (--Current->Pending_ == 0)
    finish(Current->Outcome_);
}

void ReachabilityProber::finish(const traffic::ProbeRound &Outcome) {
  const std::size_t Failed = State_.Reachability_.failedCount();
  if (!State_.Reachability_.finishProbe(Outcome, State_.now()))
    return;
  const bool Reaches = State_.Reachability_.reachesUpstreams();
  State_.Metrics_.ReachesUpstreams_.set(Reaches ? 1 : 0);
  State_.AreReportsDue_ = true;
  // The failures showed the loss of this VM's link.
  for (const auto &[Name, Upstream] : State_.Upstreams_.all())
    traffic::UpstreamHealth::forgetFailures(*Upstream);
  State_.log(EventLine(Reaches ? "upstreams-regained" : "upstreams-lost")
                 .add("connected", Outcome.Connected_)
                 .add("refused", Outcome.Refused_)
                 .add("unanswered", Outcome.Unanswered_)
                 .add("failed_in_row", static_cast<std::int64_t>(Failed)));
}

} // namespace ebony::vm
