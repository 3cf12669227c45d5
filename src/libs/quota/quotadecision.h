#ifndef EBONY_QUOTA_QUOTADECISION_H
#define EBONY_QUOTA_QUOTADECISION_H

namespace ebony::quota {

/// Decision on the admission of one request.
enum class QuotaDecision {
  /// The request is admitted; its tokens have been taken.
  Admit,
  /// Quota may arrive soon; retry at the next grant, and at the latest after
  /// ExchangePolicy::MaxWait_.
  Wait,
  /// No quota is available at present.
  Refuse,
};

} // namespace ebony::quota

#endif
