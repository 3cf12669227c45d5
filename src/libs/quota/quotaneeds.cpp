#include "quota/quotaneeds.h"

#include <algorithm>
#include <cmath>

namespace ebony::quota {

namespace {

/// Lower bound, in requests, of a main user's share of the burst.
constexpr double MinBurstShare = 1.2;
/// Added to the tokens requested, in requests, so that rounding down to parts
/// does not leave a request short.
constexpr double RoundingTokens = 0.1;
/// Fraction of the customer's rate from which a VM counts as a main user.
constexpr double MainUserFraction = 0.25;
/// Expected requests within the lookahead below which a VM fetches tokens for
/// each request.
constexpr double LowRateRequests = 1;

} // namespace

QuotaShare QuotaNeeds::partsFor(double PerSecond, double Requests) const {
  const auto Parts = [](double Wanted, Tokens Whole) {
    const double Fraction =
        Wanted * double(TokensPerRequest) / double(std::max<Tokens>(Whole, 1));
    return std::int64_t(std::min(Fraction, 1.0) * double(WholeParts));
  };
  return {Parts(PerSecond, Limits_.rate()), Parts(Requests, Limits_.burst())};
}

double QuotaNeeds::reserveTokens(double PerSecond) const {
  const double Mean = PerSecond * base::toSeconds(Policy_.ReserveLookahead_);
  return Mean + (Mean < 1 ? 0 : std::sqrt(Mean)) + double(Waiting_);
}

double QuotaNeeds::targetTokens(double PerSecond) const {
  const double Mean = PerSecond * base::toSeconds(Policy_.Lookahead_);
  // At such low rates, tokens held in stock on one VM are missing on all
  // others; they are fetched for each request instead.
  if (Mean < LowRateRequests)
    return Waiting_ > 0 ? double(Waiting_) + RoundingTokens : 0;
  // A main user targets at most its demand's fraction of the burst, so that the
  // targets of all VMs do not exceed the burst while demand is within the rate.
  const double Rate = double(Limits_.rate()) / double(TokensPerRequest);
  const double Burst = double(Limits_.burst()) / double(TokensPerRequest);
  // A VM with a small fraction of the demand holds few tokens in stock, as they
  // would be missing on many other VMs.
  if (PerSecond < Rate * MainUserFraction)
    return std::min(reserveTokens(PerSecond) + RoundingTokens, Burst);
  const double BurstShare = std::max(MinBurstShare, Burst * PerSecond / Rate);
  const double Ahead = Mean + Policy_.TargetDeviations_ * std::sqrt(Mean) + 1;
  return std::min(std::min(Ahead, BurstShare) + double(Waiting_), Burst);
}

bool QuotaNeeds::isLowRate(double PerSecond) const {
  return PerSecond * base::toSeconds(Policy_.Lookahead_) < LowRateRequests;
}

} // namespace ebony::quota
