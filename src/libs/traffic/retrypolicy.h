#ifndef EBONY_TRAFFIC_RETRYPOLICY_H
#define EBONY_TRAFFIC_RETRYPOLICY_H

namespace ebony::traffic {

/// When a request may be sent to an upstream again.
enum class RetryPolicy {
  /// The request may run more than once.
  Idempotent,
  /// Sent again only after a response which says that it was not executed.
  AtMostOnce,
};

} // namespace ebony::traffic

#endif
