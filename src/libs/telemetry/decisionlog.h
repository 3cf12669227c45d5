#ifndef EBONY_TELEMETRY_DECISIONLOG_H
#define EBONY_TELEMETRY_DECISIONLOG_H

#include "telemetry/decisionhistory.h"

namespace ebony::telemetry {

/// Writes each decision as one log line and keeps the latest for "explain".
/// Safe from any thread.
class DecisionLog {
public:
  explicit DecisionLog(DecisionHistory &History);

  void write(const DecisionRecord &Record);

private:
  DecisionHistory &History_;
};

} // namespace ebony::telemetry

#endif
