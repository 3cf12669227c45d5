#ifndef EBONY_UPSTREAMSTANDIN_RUN_H
#define EBONY_UPSTREAMSTANDIN_RUN_H

#include "base/time.h"
#include "upstreamstandin/runrequest.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <condition_variable>
#include <mutex>

namespace ebony::upstreamstandin {

/// Run of a request that occupies a slot; another thread may cancel it.
class Run : public boost::intrusive_ref_counter<Run> {
public:
  using Ptr = boost::intrusive_ptr<Run>;

  /// \p ServiceTime is the duration of the run unless it is cancelled or its
  /// deadline passes.
  Run(RunRequest Request, base::TimePoint Started, base::Duration ServiceTime);

  const RunRequest &request() const { return Request_; }
  base::TimePoint started() const { return Started_; }
  base::Duration serviceTime() const { return ServiceTime_; }

  void cancel();

  /// Waits for \p Span; returns false as soon as the run is cancelled.
  bool waitFor(base::Duration Span);

private:
  RunRequest Request_;
  base::TimePoint Started_;
  base::Duration ServiceTime_;
  std::mutex Lock_;
  std::condition_variable CancelledChanged_;
  bool Cancelled_ = false;
};

} // namespace ebony::upstreamstandin

#endif
