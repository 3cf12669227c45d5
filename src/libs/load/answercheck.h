#ifndef EBONY_LOAD_ANSWERCHECK_H
#define EBONY_LOAD_ANSWERCHECK_H

#include "load/httpcaller.h"
#include "load/requestrecord.h"

#include <string>

namespace ebony::load {

/// Echo that a caller expects from an upstream stand-in.
struct ExpectedEcho {
  std::string Customer_;
  std::string TargetSuffix_; ///< Unique suffix of path and query.
  bool IsFirstAttempt_ = true;

  friend bool operator==(const ExpectedEcho &, const ExpectedEcho &) = default;
};

/// Result of checking the body of a complete 2xx answer. Truncated: the body
/// does not parse although its HTTP framing was complete.
enum class EchoCheckResult { Matching, Mismatched, Truncated };

/// Compares the echo in \p Answer with \p Expected and the sent digest.
EchoCheckResult checkEcho(const IncomingAnswer &Answer,
                          const ExpectedEcho &Expected);

/// Returns the outcome that \p Answer proves to the caller.
Outcome outcomeOf(const IncomingAnswer &Answer);

} // namespace ebony::load

#endif
