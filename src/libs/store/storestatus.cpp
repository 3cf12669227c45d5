#include "store/storestatus.h"

namespace ebony::store {

const char *toText(StoreStatus Status) {
  switch (Status) {
  case StoreStatus::Done:
    return "done";
  case StoreStatus::ConditionFailed:
    return "condition-failed";
  case StoreStatus::HistoryGone:
    return "history-gone";
  case StoreStatus::Busy:
    return "busy";
  case StoreStatus::NotDone:
    return "not-done";
  case StoreStatus::NoAnswer:
    return "no-answer";
  case StoreStatus::Malformed:
    return "malformed";
  }
  return "unknown";
}

} // namespace ebony::store
