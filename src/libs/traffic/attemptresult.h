#ifndef EBONY_TRAFFIC_ATTEMPTRESULT_H
#define EBONY_TRAFFIC_ATTEMPTRESULT_H

namespace ebony::traffic {

/// How one attempt at an upstream ended.
enum class AttemptResult {
  /// The upstream sent a complete response.
  Answered,
  /// The upstream sent a response that reports a failure of its own.
  Failed,
  /// The upstream rejected the request without executing it.
  Shed,
  /// Another upstream uses the address now; it did not execute the request.
  Misdirected,
  /// No connection could be made, so nothing was sent.
  Unreachable,
  /// The VM may no longer send to the upstream, so nothing was sent.
  Withheld,
  /// The connection ended before a complete response; the request may have
  /// been executed.
  ConnectionLost,
  /// No response arrived in time; the request may have been executed.
  TimedOut,
  /// The caller disconnected, which says nothing about the upstream.
  CallerLeft,
};

/// Returns whether the attempt ended before anything was sent.
constexpr bool wasNothingSent(AttemptResult Result) {
  return Result == AttemptResult::Unreachable ||
         Result == AttemptResult::Withheld;
}

/// Returns whether the upstream stated that it did not execute the request.
constexpr bool wasRejected(AttemptResult Result) {
  return Result == AttemptResult::Shed || Result == AttemptResult::Misdirected;
}

} // namespace ebony::traffic

#endif
