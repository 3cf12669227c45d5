#ifndef EBONY_IDEMPOTENCY_FIRSTUSEWINDOW_H
#define EBONY_IDEMPOTENCY_FIRSTUSEWINDOW_H

#include "base/time.h"
#include "idempotency/requestsession.h"

namespace ebony::idempotency {

/// Says until when a holder runs sessions that it has not seen before. A
/// session may be forgotten only once its window has closed.
class FirstUseWindow {
public:
  /// Window of a holder that runs: an epoch begins every \p Span from \p Start
  /// on, and its sessions may be used first during it and the next one.
  static FirstUseWindow running(base::TimePoint Start, base::Duration Span);

  /// Window of a holder whose memory was adopted at \p Adopted, when \p Latest
  /// was its current epoch.
  static FirstUseWindow inherited(SessionEpoch LatestEpoch,
                                  base::TimePoint InheritedAt,
                                  base::Duration Span);

  /// Window of an adopted holder that takes no first uses any more.
  static FirstUseWindow closed(SessionEpoch LatestEpoch);

  /// True while sessions of some epoch may be used first.
  bool isOpen(base::TimePoint Now) const;

  /// Epoch that look-ups hand out now.
  SessionEpoch currentEpoch(base::TimePoint Now) const;

  /// True when an unseen session of \p Epoch may run.
  bool accepts(SessionEpoch Epoch, base::TimePoint Now) const;

  /// Time from which no unseen session of \p Epoch is accepted.
  base::TimePoint closingTime(SessionEpoch Epoch) const;

private:
  FirstUseWindow(base::TimePoint Start, base::Duration Span, bool Inherited,
                 SessionEpoch LatestEpoch);

  base::TimePoint Start_;
  base::Duration Span_;
  bool Inherited_;
  SessionEpoch LatestEpoch_;
};

} // namespace ebony::idempotency

#endif
