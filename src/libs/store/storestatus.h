#ifndef EBONY_STORE_STORESTATUS_H
#define EBONY_STORE_STORESTATUS_H

namespace ebony::store {

/// How a call to the store ended.
enum class StoreStatus {
  Done,
  /// The condition of a write did not hold; nothing was written.
  ConditionFailed,
  /// The changes asked for are no longer kept; read the whole table again.
  HistoryGone,
  /// Too many calls; nothing was done.
  Busy,
  /// The store is away or turned the call down; nothing was done.
  NotDone,
  /// No answer: a write may have taken effect or may still do so.
  NoAnswer,
  /// An answer that cannot be read.
  Malformed,
};

/// The name of \p Status for logs.
const char *toText(StoreStatus Status);

} // namespace ebony::store

#endif
