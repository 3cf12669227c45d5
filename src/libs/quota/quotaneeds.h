#ifndef EBONY_QUOTA_QUOTANEEDS_H
#define EBONY_QUOTA_QUOTANEEDS_H

#include "quota/exchangepolicy.h"
#include "quota/quotalimits.h"

namespace ebony::quota {

/// Computes how much of one customer's quota a VM needs for a given demand.
class QuotaNeeds {
public:
  /// \p Waiting is the number of requests that wait for tokens.
  QuotaNeeds(QuotaLimits Limits, const ExchangePolicy &Policy, int Waiting)
      : Limits_(Limits), Policy_(Policy), Waiting_(Waiting) {}

  /// Returns the parts whose rate is \p PerSecond requests per second and whose
  /// burst is \p Requests.
  QuotaShare partsFor(double PerSecond, double Requests) const;

  /// Returns the tokens, in requests, to keep when a peer requests some.
  double reserveTokens(double PerSecond) const;

  /// Returns the tokens, in requests, to hold in stock.
  double targetTokens(double PerSecond) const;

  /// Returns whether the rate is so low that tokens are fetched for each
  /// request.
  bool isLowRate(double PerSecond) const;

private:
  QuotaLimits Limits_;
  const ExchangePolicy &Policy_;
  int Waiting_;
};

} // namespace ebony::quota

#endif
