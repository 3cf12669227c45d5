#ifndef EBONY_BASE_CONNECTIONACTIVITY_H
#define EBONY_BASE_CONNECTIONACTIVITY_H

#include "base/time.h"

#include <algorithm>
#include <tuple>

namespace ebony::base {

/// What a connection is used for, in the order in which connections are closed
/// when there are too many. Busy ones are never closed for a new one.
enum class ConnectionUse {
  /// No whole request has arrived yet.
  Unused,
  /// All requests are answered; the client may send another one.
  Idle,
  /// Waits for its client to send the rest of a request or to read a response.
  Waiting,
  Busy
};

/// Use of a connection and the time since which it is used so.
struct ConnectionActivity {
  ConnectionUse Use_ = ConnectionUse::Unused;
  TimePoint Since_{};

  friend bool operator==(const ConnectionActivity &,
                         const ConnectionActivity &) = default;
  friend bool operator<(const ConnectionActivity &A,
                        const ConnectionActivity &B) {
    return std::tie(A.Use_, A.Since_) < std::tie(B.Use_, B.Since_);
  }
};

/// Returns the connection that is closed to make room for a new one, or null
/// if all are busy.
///
/// Load pattern: crowds of clients that connect and send nothing or next to
/// nothing. Connections that never carried a request are closed first, the
/// oldest before the others, so that a caller that has just connected has time
/// to send; then those that have been idle for longest,
/// then those that have waited for their client for longest.
template <typename Connections> auto *findLeastActive(Connections &All) {
  const auto Least = std::min_element(
      All.begin(), All.end(),
      [](const auto &A, const auto &B) { return A.activity() < B.activity(); });
  const bool IsFound =
      Least != All.end() && Least->activity().Use_ != ConnectionUse::Busy;
  return IsFound ? &*Least : nullptr;
}

} // namespace ebony::base

#endif
