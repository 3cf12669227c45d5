#ifndef EBONY_UPSTREAMSTANDIN_LOADHISTORY_H
#define EBONY_UPSTREAMSTANDIN_LOADHISTORY_H

#include "base/time.h"

#include <deque>

namespace ebony::upstreamstandin {

/// Recent in-flight counts, for load reports with an injected lag.
/// Not thread-safe.
class LoadHistory {
public:
  /// Keeps the samples of the last \p Span.
  explicit LoadHistory(base::Duration Span) : Span_(Span) {}

  void record(base::TimePoint Now, int InFlight);

  /// Returns the in-flight count at \p When, or 0 before the first sample.
  int at(base::TimePoint When) const;

private:
  struct Sample {
    base::TimePoint When_;
    int InFlight_ = 0;
  };

  base::Duration Span_;
  std::deque<Sample> Samples_;
};

} // namespace ebony::upstreamstandin

#endif
