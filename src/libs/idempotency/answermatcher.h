#ifndef EBONY_IDEMPOTENCY_ANSWERMATCHER_H
#define EBONY_IDEMPOTENCY_ANSWERMATCHER_H

#include "base/name.h"

#include <cstdint>
#include <optional>

namespace ebony::idempotency {

/// Judges what arrives on one upstream connection while one request waits for
/// its answer.
class AnswerMatcher {
public:
  enum class MatchState : std::uint8_t {
    Incomplete, ///< The answer belongs to this request; more of it must follow.
    Complete,   ///< The complete answer was received.
    Mismatch,   ///< The data belongs to another request: discard it and close.
    Truncated   ///< The connection ended early: abort the answer and close.
  };

  explicit AnswerMatcher(base::RequestId AwaitedRequest);

  /// The head of an answer for \p Answered; \p BodyBytes is its announced
  /// length, or none when the body announces its own end.
  MatchState receiveHead(const base::RequestId &Answered,
                         std::optional<std::uint64_t> BodyBytes);

  /// \p Bytes of the body arrived.
  MatchState receiveBody(std::uint64_t Bytes);

  /// The body announced its own end.
  MatchState receiveBodyEnd();

  /// The connection ended.
  MatchState recordClosed();

  /// True when the connection may carry another request.
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
