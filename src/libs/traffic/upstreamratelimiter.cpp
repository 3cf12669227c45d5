#include "traffic/upstreamratelimiter.h"

#include "base/hashing.h"

#include <algorithm>

namespace ebony::traffic {

namespace {

// Requests that all VMs together may send to an upstream within Window: its
// rate times Overrun and Window, plus Slack.
constexpr double Overrun = 1.5;
constexpr double Slack = 5;
constexpr double WindowSeconds = 4;

// Fraction of the named rate that the sharing VMs use. Twice of it is below
// Overrun, so that both parts of a split fleet may use it.
constexpr double UsableShare = 0.7;

// Lowest rate that is used, so that the end of a limit near zero is noticed.
// Two parts of a fleet together send at most two requests per Window.
constexpr double MinRatePerSecond = 0.25;

// Time by which a request may precede its pace. Decisions are made in ticks of
// half that time, in which a high rate has several requests.
constexpr base::Duration PaceTolerance = std::chrono::milliseconds(50);

// Each VM that shares a rate may start a window with a request that its pace
// does not count. Returns how many VMs the bound has room for, in both parts
// of a split fleet.
std::size_t maxHolders(double RatePerSecond) {
  const double OverrunRequests =
      (Overrun - 2 * UsableShare) * RatePerSecond * WindowSeconds;
  const double EarlyRequests =
      2 * UsableShare * RatePerSecond * base::toSeconds(PaceTolerance);
  const double Room = OverrunRequests - EarlyRequests + Slack;
  return std::max<std::size_t>(1, static_cast<std::size_t>(Room / 2));
}

} // namespace

void UpstreamRateLimiter::setOtherVms(
    const std::vector<const MemberReport *> &Reports) {
  Others_.clear();
  for (const MemberReport *Report : Reports)
    if (Report->Name_ != OwnName_)
      Others_.push_back({base::stableHash(Report->Name_), Report->Region_});
}

std::optional<base::Duration>
UpstreamRateLimiter::sendDelay(const UpstreamState &Upstream, int Ahead,
                               base::TimePoint Now) const {
  const std::optional<base::Duration> Interval = sendInterval(Upstream, Now);
  if (!Interval || *Interval == base::Duration::zero())
    return Interval;
  const base::Duration Pace = Upstream.NextSend_ - PaceTolerance - Now;
  return std::max(Pace, base::Duration::zero()) + Ahead * *Interval;
}

void UpstreamRateLimiter::recordSend(UpstreamState &Upstream,
                                     base::TimePoint Now) const {
  Upstream.NextSend_ =
      std::max(Upstream.NextSend_, Now) +
      sendInterval(Upstream, Now).value_or(base::Duration::zero());
}

std::optional<base::Duration>
UpstreamRateLimiter::sendInterval(const UpstreamState &Upstream,
                                  base::TimePoint Now) const {
  const std::optional<double> Rate = Upstream.Limit_.rateAt(Now);
  if (!Rate)
    return base::Duration::zero();
  const std::size_t Holders = std::min(maxHolders(*Rate), Others_.size() + 1);
  if (countHigherRanked(Upstream) >= Holders)
    return std::nullopt;
  const double OwnRate = std::max(*Rate * UsableShare, MinRatePerSecond) /
                         static_cast<double>(Holders);
  return base::fromSeconds(1 / OwnRate);
}

std::size_t
UpstreamRateLimiter::countHigherRanked(const UpstreamState &Upstream) const {
  const bool IsOwnRegion = OwnRegion_ == Upstream.Region_;
  const std::uint64_t OwnScore =
      base::mixBits(base::stableHash(OwnName_) ^ Upstream.NameHash_);
  return static_cast<std::size_t>(
      std::count_if(Others_.begin(), Others_.end(), [&](const Vm &Other) {
        const bool IsLocal = Other.Region_ == Upstream.Region_;
        if (IsLocal != IsOwnRegion)
          return IsLocal;
        return base::mixBits(Other.NameHash_ ^ Upstream.NameHash_) > OwnScore;
      }));
}

} // namespace ebony::traffic
