#ifndef EBONY_QUOTA_QUOTADECISION_H
#define EBONY_QUOTA_QUOTADECISION_H

namespace ebony::quota {

/// Admission of one request.
enum class QuotaVerdict {
  /// The request may run; its tokens are taken.
  Admit,
  /// Quota has been asked for; try again at the next grant, and at the latest
  /// after the longest wait.
  Wait,
  /// There is no quota to be had at present.
  Refuse,
};

} // namespace ebony::quota

#endif
