#ifndef EBONY_TRAFFIC_ATTEMPTRESULT_H
#define EBONY_TRAFFIC_ATTEMPTRESULT_H

namespace ebony::traffic {

/// How one attempt at an upstream ended.
enum class AttemptResult {
  /// A whole answer of the upstream's own.
  Answered,
  /// An answer with a failure of the upstream's own making.
  Failed,
  /// The upstream said that it did not run the request.
  Shed,
  /// Another upstream holds the address; it did not run the request.
  Misdirected,
  /// No connection; nothing was sent.
  Unreachable,
  /// Sent, but no whole answer came back; it may have run.
  ConnectionLost,
  /// Time ran out while the upstream was silent; it may have run.
  TimedOut,
  /// The caller left; nothing is known of the upstream.
  CallerLeft,
};

} // namespace ebony::traffic

#endif
