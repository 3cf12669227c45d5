#include "configagent/agedpromise.h"

namespace ebony::configagent {

// The reply was created after the request was sent. Subtracting the age from
// the time of the request can therefore only make the promise or evidence look
// older than it is.

AgedPromise AgedPromise::fromSenderClock(const trust::WriterPromise &Promise,
                                         base::TimePoint Now) {
  return {Promise.Writer_, Promise.Revision_, Now - Promise.AsOf_};
}

trust::WriterPromise
AgedPromise::toReceiverClock(base::TimePoint RequestSentAt) const {
  return {Writer_, Revision_, RequestSentAt - Age_};
}

AgedEvidence
AgedEvidence::fromSenderClock(const config::FreshnessEvidence &Evidence,
                              base::TimePoint Now) {
  return {Evidence.Revision_, Now - Evidence.AsOf_};
}

config::FreshnessEvidence
AgedEvidence::toReceiverClock(base::TimePoint RequestSentAt) const {
  return {Revision_, RequestSentAt - Age_};
}

} // namespace ebony::configagent
