#include "upstreamstandin/run.h"

#include <utility>

namespace ebony::upstreamstandin {

Run::Run(RunRequest Request, base::TimePoint Started,
         base::Duration ServiceTime)
    : Request_(std::move(Request)), Started_(Started),
      ServiceTime_(ServiceTime) {}

void Run::cancel() {
  const std::lock_guard Guard(Lock_);
  Cancelled_ = true;
  CancelledChanged_.notify_all();
}

bool Run::waitFor(base::Duration Span) {
  std::unique_lock Guard(Lock_);
  return !CancelledChanged_.wait_for(Guard, Span,
                                     [this] { return Cancelled_; });
}

} // namespace ebony::upstreamstandin
