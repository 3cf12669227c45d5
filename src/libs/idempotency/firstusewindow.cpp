#include "idempotency/firstusewindow.h"

namespace ebony::idempotency {

namespace {

constexpr SessionEpoch AcceptedEpochCount = 2;

} // namespace

FirstUseWindow::FirstUseWindow(base::TimePoint Start, base::Duration Span,
                               bool Inherited, SessionEpoch LatestEpoch)
    : Start_(Start), Span_(Span), Inherited_(Inherited),
      LatestEpoch_(LatestEpoch) {}

FirstUseWindow FirstUseWindow::running(base::TimePoint Start,
                                       base::Duration Span) {
  return {Start, Span, false, 0};
}

FirstUseWindow FirstUseWindow::inherited(SessionEpoch LatestEpoch,
                                         base::TimePoint InheritedAt,
                                         base::Duration Span) {
  return {InheritedAt, Span, true, LatestEpoch};
}

FirstUseWindow FirstUseWindow::closed(SessionEpoch LatestEpoch) {
  return {base::TimePoint::min(), base::Duration(1), true, LatestEpoch};
}

bool FirstUseWindow::isOpen(base::TimePoint Now) const {
  return !Inherited_ || Now < closingTime(LatestEpoch_);
}

SessionEpoch FirstUseWindow::currentEpoch(base::TimePoint Now) const {
  if (Inherited_)
    return LatestEpoch_;
  return static_cast<SessionEpoch>((Now - Start_) / Span_);
}

bool FirstUseWindow::accepts(SessionEpoch Epoch, base::TimePoint Now) const {
  const SessionEpoch Current = currentEpoch(Now);
  // No look-up has handed out a session of an epoch that has not begun.
  if (Epoch > Current || Current - Epoch >= AcceptedEpochCount)
    return false;
  return Now < closingTime(Epoch);
}

base::TimePoint FirstUseWindow::closingTime(SessionEpoch Epoch) const {
  if (Inherited_)
    return Start_ + Span_;
  return Start_ + Span_ * (std::int64_t{Epoch} + AcceptedEpochCount);
}

} // namespace ebony::idempotency
