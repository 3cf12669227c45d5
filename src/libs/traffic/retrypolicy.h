#ifndef EBONY_TRAFFIC_RETRYPOLICY_H
#define EBONY_TRAFFIC_RETRYPOLICY_H

namespace ebony::traffic {

/// What may be sent to an upstream again.
enum class RetryPolicy {
  /// The request may run more than once.
  Idempotent,
  /// Sent again only after an answer that says it did not run.
  AtMostOnce,
};

} // namespace ebony::traffic

#endif
