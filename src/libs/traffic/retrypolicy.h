#ifndef EBONY_TRAFFIC_RETRYPOLICY_H
#define EBONY_TRAFFIC_RETRYPOLICY_H

namespace ebony::traffic {

/// Selects when a request may be sent again after a failed attempt.
enum class RetryPolicy {
  /// The request may be executed more than once.
  Idempotent,
  /// Sent again only after a response which says that it was not executed.
  AtMostOnce,
};

} // namespace ebony::traffic

#endif
