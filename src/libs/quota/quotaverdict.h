#ifndef EBONY_QUOTA_QUOTAVERDICT_H
#define EBONY_QUOTA_QUOTAVERDICT_H

namespace ebony::quota {

/// Decision on the admission of one request.
enum class QuotaVerdict {
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
