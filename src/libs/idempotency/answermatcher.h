#ifndef EBONY_IDEMPOTENCY_ANSWERMATCHER_H
#define EBONY_IDEMPOTENCY_ANSWERMATCHER_H

#include "base/name.h"

#include <cstdint>
#include <optional>

namespace ebony::idempotency {

/// Matches the data received on an upstream connection with the one request
/// whose answer is awaited on it.
class AnswerMatcher {
public:
  enum class MatchState : std::uint8_t {
    Incomplete, ///< The answer belongs to this request; more of it must follow.
    Complete,   ///< The complete answer was received.
    Mismatch,   ///< The data belongs to another request: discard it and close.
    Truncated   ///< The connection ended early: abort the answer and close.
  };

  explicit AnswerMatcher(base::RequestId AwaitedRequest);

  /// Processes the head of an answer to \p Answered. \p BodyBytes is the
  /// announced length of the body, or std::nullopt if the body marks its own
  /// end.
  MatchState receiveHead(const base::RequestId &Answered,
                         std::optional<std::uint64_t> BodyBytes);

  /// Processes \p Bytes further bytes of the body.
  MatchState receiveBody(std::uint64_t Bytes);

  /// Processes the end of a body without an announced length.
  MatchState receiveBodyEnd();

  /// Records that the connection was closed.
  MatchState recordClosed();

  /// Returns true if the connection may carry another request.
  bool isReusable() const { return State_ == MatchState::Complete; }

private:
  MatchState completeIfReceived();

  base::RequestId AwaitedRequest_;
  std::optional<std::uint64_t> ExpectedBodyBytes_;
  std::uint64_t ReceivedBodyBytes_ = 0;
  bool HeadReceived_ = false;
  MatchState State_ = MatchState::Incomplete;
};

} // namespace ebony::idempotency

#endif
