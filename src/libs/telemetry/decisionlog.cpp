#include "telemetry/decisionlog.h"

#include <glog/logging.h>

namespace ebony::telemetry {

DecisionLog::DecisionLog(DecisionHistory &History) : History_(History) {}

void DecisionLog::write(const DecisionRecord &Record) {
  LOG(INFO) << toLine(Record);
  History_.add(Record);
}

} // namespace ebony::telemetry
