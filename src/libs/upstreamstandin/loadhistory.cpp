#include "upstreamstandin/loadhistory.h"

namespace ebony::upstreamstandin {

void LoadHistory::record(base::TimePoint Now, int InFlight) {
  Samples_.push_back({Now, InFlight});
  // Keeps the newest sample from before the span, because its count applies at
  // the start of the span.
  while (Samples_.size() > 1 && Samples_[1].When_ <= Now - Span_)
    Samples_.pop_front();
}

int LoadHistory::at(base::TimePoint When) const {
  int InFlight = 0;
  for (const Sample &Candidate : Samples_) {
    if (Candidate.When_ > When)
      break;
    InFlight = Candidate.InFlight_;
  }
  return InFlight;
}

} // namespace ebony::upstreamstandin
