#include "traffic/namedlimit.h"

#include <algorithm>
#include <cmath>

namespace ebony::traffic {

namespace {

// A higher rate limits nothing.
constexpr double MaxRatePerSecond = 1e6;

// Time over which the rate rises after the end of a limit, so that the VMs do
// not all return to the upstream at once, and time in which it doubles.
constexpr base::Duration LiftDuration = std::chrono::seconds(2);
constexpr double DoublingSeconds = 0.25;
// Rate from which it rises, if the limit was lower.
constexpr double MinLiftedRate = 1;

// Time without a response after which a request is sent to see whether the
// limit still holds, even if another upstream is expected to respond sooner.
constexpr base::Duration TrialInterval = std::chrono::seconds(1);

// Time for which the end of a limit is reported.
constexpr base::Duration EndReportDuration = std::chrono::seconds(10);

// Time by which the end of a limit has to be newer than its last naming when
// both were seen by different VMs. Covers the delay of reports.
constexpr base::Duration ReportDelayMargin = std::chrono::milliseconds(500);

} // namespace

NamedLimit NamedLimit::afterResponse(std::optional<double> Rate,
                                     base::TimePoint Sent,
                                     base::TimePoint Now) const {
  NamedLimit Result = *this;
  if (Rate) {
    Result.RatePerSecond_ = std::min(*Rate, MaxRatePerSecond);
    Result.NamedAt_ = Now;
    return Result;
  }
  // Responses may overtake each other on different connections. Only one to a
  // request sent after the limit was last named is newer for certain.
  if (isInForce() && Sent > NamedAt_)
    Result.EndedAt_ = Now;
  return Result;
}

NamedLimit NamedLimit::afterReport(const ReportedLimit &Report,
                                   base::TimePoint Now) const {
  NamedLimit Result = *this;
  const base::TimePoint ReportedNaming = Now - Report.NamedAge_;
  if (ReportedNaming > NamedAt_) {
    Result.NamedAt_ = ReportedNaming;
    Result.RatePerSecond_ = Report.RatePerSecond_;
  }
  if (!Report.EndedAge_)
    return Result;
  const base::TimePoint ReportedEnd = Now - *Report.EndedAge_;
  const bool IsOwnNaming = Result.NamedAt_ != ReportedNaming;
  if (ReportedEnd > EndedAt_ &&
      ReportedEnd > Result.NamedAt_ +
                        (IsOwnNaming ? ReportDelayMargin : base::Duration{}))
    Result.EndedAt_ = ReportedEnd;
  return Result;
}

std::optional<ReportedLimit> NamedLimit::toReport(base::TimePoint Now) const {
  if (!wasNamed() || (!isInForce() && Now - EndedAt_ > EndReportDuration))
    return std::nullopt;
  ReportedLimit Result;
  Result.RatePerSecond_ = RatePerSecond_;
  Result.NamedAge_ = Now - NamedAt_;
  if (!isInForce())
    Result.EndedAge_ = Now - EndedAt_;
  return Result;
}

bool NamedLimit::isTrialDue(base::TimePoint Now) const {
  return isInForce() && Now - NamedAt_ >= TrialInterval;
}

std::optional<double> NamedLimit::rateAt(base::TimePoint Now) const {
  if (isInForce())
    return RatePerSecond_;
  if (!wasNamed() || Now - EndedAt_ >= LiftDuration)
    return std::nullopt;
  return std::max(RatePerSecond_, MinLiftedRate) *
         std::exp2(base::toSeconds(Now - EndedAt_) / DoublingSeconds);
}

} // namespace ebony::traffic
