#include "traffic/upstreamreachability.h"

#include <algorithm>

namespace ebony::traffic {

namespace {

// Distinct upstreams that have to fail in a row, with no new connection in
// between, before probes are worth their price.
constexpr std::size_t SuspiciousFailures = 3;

// Requests in flight without any response for MaxSilence raise a suspicion;
// fewer may just take long.
constexpr int ManyInFlight = 4;
constexpr base::Duration MaxSilence = std::chrono::milliseconds(400);

// Time between two rounds: while the VM is suspicious, and while it reaches no
// upstream. A false suspicion, as of an idle service with long requests, costs
// one round in the first.
constexpr base::Duration SuspicionInterval = std::chrono::milliseconds(1000);
constexpr base::Duration ReturnInterval = std::chrono::milliseconds(400);

// Rounds in a row that show that upstreams are reached again: a link may flap.
constexpr int RoundsToReturn = 2;

// Unanswered rounds in a row that outweigh responses on older connections.
constexpr int RoundsAgainstResponses = 2;

} // namespace

void UpstreamReachability::recordConnection(base::TimePoint Now) {
  LastConnection_ = Now;
  Failed_.clear();
}

void UpstreamReachability::setInFlight(int Count, base::TimePoint Now) {
  if (Count < ManyInFlight)
    BusySince_ = {};
  else if (BusySince_ == base::TimePoint{})
    BusySince_ = Now;
}

bool UpstreamReachability::isSilent(base::TimePoint Now) const {
  return BusySince_ != base::TimePoint{} &&
         Now - std::max(BusySince_, LastResponse_) >= MaxSilence;
}

bool UpstreamReachability::isSuspicious(std::size_t UpstreamCount,
                                        base::TimePoint Now) const {
  return Failed_.size() >= std::min(SuspiciousFailures, UpstreamCount) ||
         isSilent(Now);
}

bool UpstreamReachability::isProbeDue(std::size_t UpstreamCount,
                                      base::TimePoint Now) const {
  if (IsProbing_ || UpstreamCount == 0)
    return false;
  const base::Duration SinceProbe = Now - LastProbe_;
  if (!ReachesUpstreams_)
    return SinceProbe >= ReturnInterval;
  if (ContraryRounds_ > 0)
    return true;
  return SinceProbe >= SuspicionInterval && isSuspicious(UpstreamCount, Now);
}

void UpstreamReachability::beginProbe(base::TimePoint Now) {
  IsProbing_ = true;
  LastProbe_ = Now;
}

bool UpstreamReachability::finishProbe(const ProbeRound &Round,
                                       base::TimePoint Now) {
  IsProbing_ = false;
  if (Round.Connected_ > 0)
    recordConnection(Now);
  if (!ReachesUpstreams_) {
    ContraryRounds_ =
        Round.Connected_ > Round.failed() ? ContraryRounds_ + 1 : 0;
    if (ContraryRounds_ < RoundsToReturn)
      return false;
    ContraryRounds_ = 0;
    ReachesUpstreams_ = true;
    return true;
  }
  if (Round.Connected_ > 0 || Round.failed() == 0) {
    ContraryRounds_ = 0;
    return false;
  }
  ++ContraryRounds_;
  const bool IsRefused = Round.Unanswered_ == 0;
  const bool HasResponses = LastResponse_ > Round.Started_;
  if (!IsRefused && HasResponses && ContraryRounds_ < RoundsAgainstResponses)
    return false;
  ContraryRounds_ = 0;
  ReachesUpstreams_ = false;
  return true;
}

} // namespace ebony::traffic
