#ifndef EBONY_LOAD_HTTPCALLER_H
#define EBONY_LOAD_HTTPCALLER_H

#include "base/time.h"
#include "load/connectionpool.h"
#include "load/endpoint.h"
#include "standin/httpheader.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ebony::load {

/// HTTP request to send. When BodyBytes_ is above 0, the body is random data
/// generated from BodySeed_.
struct OutgoingRequest {
  std::string Method_ = "GET";
  std::string Target_;
  std::vector<standin::HttpHeader> Headers_;
  std::string Body_; ///< Sent when BodyBytes_ is 0.
  std::int64_t BodyBytes_ = 0;
  std::uint64_t BodySeed_ = 0;
  base::Duration Timeout_{0};

  friend bool operator==(const OutgoingRequest &,
                         const OutgoingRequest &) = default;
};

/// Extent to which an answer was received.
enum class AnswerState {
  NotSent, ///< Connection refused: no byte of the request was sent.
  NoResponse,
  Truncated,
  Complete
};

/// Answer as received.
struct IncomingAnswer {
  AnswerState State_ = AnswerState::NoResponse;
  int Status_ = 0;
  std::string Outcome_;   ///< Ebony-Outcome header.
  std::string RequestId_; ///< Ebony-Request-Id header.
  std::string Body_;
  std::string SentSha256_; ///< Digest of the request's body.

  friend bool operator==(const IncomingAnswer &,
                         const IncomingAnswer &) = default;
};

/// Sends requests over pooled keep-alive connections. Thread-safe.
class HttpCaller {
public:
  /// Sends \p Request to \p Server. Returns when the answer has been received
  /// or the exchange has failed.
  IncomingAnswer call(const Endpoint &Server, const OutgoingRequest &Request);

private:
  ConnectionPool Pool_;
};

} // namespace ebony::load

#endif
