#ifndef EBONY_CONFIGAGENT_AGEDPROMISE_H
#define EBONY_CONFIGAGENT_AGEDPROMISE_H

#include "config/freshnessevidence.h"
#include "trust/writerpromise.h"

namespace ebony::configagent {

/// WriterPromise in a message to a peer. Holds an age instead of a time because
/// the VMs have no common clock.
struct AgedPromise {
  base::VmIdentity Writer_;
  config::Revision Revision_ = 0;
  base::Duration Age_{0};

  static AgedPromise fromSenderClock(const trust::WriterPromise &Promise,
                                     base::TimePoint Now);

  /// Converts to the clock of the receiver, which sent its request at
  /// \p RequestSentAt.
  trust::WriterPromise toReceiverClock(base::TimePoint RequestSentAt) const;

  friend bool operator==(const AgedPromise &, const AgedPromise &) = default;
};

/// FreshnessEvidence in a message to a peer, with an age instead of a time.
struct AgedEvidence {
  config::Revision Revision_ = 0;
  base::Duration Age_{0};

  static AgedEvidence fromSenderClock(const config::FreshnessEvidence &Evidence,
                                      base::TimePoint Now);

  /// Converts to the clock of the receiver, which sent its request at
  /// \p RequestSentAt.
  config::FreshnessEvidence
  toReceiverClock(base::TimePoint RequestSentAt) const;

  friend bool operator==(const AgedEvidence &, const AgedEvidence &) = default;
};

} // namespace ebony::configagent

#endif
