#ifndef EBONY_STORE_STORESTATUS_H
#define EBONY_STORE_STORESTATUS_H

namespace ebony::store {

/// Outcome of a call to the store.
enum class StoreStatus {
  Done,
  /// The condition of a write was not met; nothing was written.
  ConditionFailed,
  /// The store no longer keeps the requested changes; the whole table has to be
  /// read again.
  HistoryGone,
  /// The store received too many calls and did not execute this one.
  Busy,
  /// The store is unreachable or rejected the call; it was not executed.
  NotDone,
  /// No answer arrived: a write may have taken effect or may still do so.
  NoAnswer,
  /// The answer could not be parsed.
  Malformed,
};

/// Returns the name of \p Status for logs.
const char *toText(StoreStatus Status);

} // namespace ebony::store

#endif
