#ifndef EBONY_HTTPKIT_OUTCOME_H
#define EBONY_HTTPKIT_OUTCOME_H

#include <string_view>

namespace ebony::httpkit {

/// Information for the caller on whether its request has run.
enum class Outcome {
  /// The request has not run and will not run.
  NotRun,
  /// The request may have run.
  Unknown,
  /// The request has run, and this is its complete response.
  Complete,
};

/// Returns the value of the Ebony-Outcome header.
constexpr std::string_view toText(Outcome Value) {
  switch (Value) {
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    return "unknown";
  case Outcome::Complete:
    return "complete";
  }
  return "unknown";
}

} // namespace ebony::httpkit

#endif
