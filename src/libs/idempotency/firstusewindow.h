#ifndef EBONY_IDEMPOTENCY_FIRSTUSEWINDOW_H
#define EBONY_IDEMPOTENCY_FIRSTUSEWINDOW_H

#include "base/time.h"
#include "idempotency/requestsession.h"

namespace ebony::idempotency {

/// Time window in which an owner runs sessions that it has not seen before. A
/// session may be evicted only once its window has closed, because it would
/// otherwise look unseen and run again.
class FirstUseWindow {
public:
  /// Returns the window of a running owner. An epoch begins every \p Span from
  /// \p Start on; its sessions may be used first during it and the next one.
  static FirstUseWindow running(base::TimePoint Start, base::Duration Span);

  /// Returns the window of an owner whose registry was taken over at
  /// \p InheritedAt, when \p LatestEpoch was its current epoch.
  static FirstUseWindow inherited(SessionEpoch LatestEpoch,
                                  base::TimePoint InheritedAt,
                                  base::Duration Span);

  /// Returns the window of a former owner that accepts no first uses any more.
  static FirstUseWindow closed(SessionEpoch LatestEpoch);

  /// Returns true while unseen sessions of some epoch are accepted.
  bool isOpen(base::TimePoint Now) const;

  /// Returns the epoch of the sessions that look-ups hand out at \p Now.
  SessionEpoch currentEpoch(base::TimePoint Now) const;

  /// Returns true if an unseen session of \p Epoch may run.
  bool accepts(SessionEpoch Epoch, base::TimePoint Now) const;

  /// Returns the time from which no unseen session of \p Epoch is accepted.
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
