#ifndef EBONY_HTTPKIT_PROBLEM_H
#define EBONY_HTTPKIT_PROBLEM_H

#include "base/time.h"
#include "httpkit/outcome.h"

#include <Poco/Net/HTTPServerResponse.h>

#include <optional>
#include <string>

namespace ebony::httpkit {

/// Refusal or failure reported to a caller (RFC 9457).
struct Problem {
  /// HTTP status code.
  int Status_ = 500;
  Outcome Outcome_ = Outcome::NotRun;
  /// Short token such as "rate-limit"; part of the problem's type.
  std::string Reason_;
  /// Sentence that tells the caller what to do next.
  std::string Detail_;
  std::optional<base::Duration> RetryAfter_;

  friend bool operator==(const Problem &, const Problem &) = default;
};

/// Sends \p Details as a problem document with the Ebony-Outcome header.
void sendProblem(Poco::Net::HTTPServerResponse &Response,
                 const Problem &Details);

} // namespace ebony::httpkit

#endif
