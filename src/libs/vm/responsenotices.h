#ifndef EBONY_VM_RESPONSENOTICES_H
#define EBONY_VM_RESPONSENOTICES_H

#include "vm/upstreamattempt.h"
#include "vm/vmstate.h"

namespace ebony::vm {

/// Applies what an upstream says about itself in the header of a response.
class ResponseNotices {
public:
  explicit ResponseNotices(VmState &State) : State_(State) {}

  /// Records the notices of the response that \p Attempt got from \p Upstream
  /// to the request \p RequestId, sent at \p Started; nothing if it got none.
  void record(traffic::UpstreamState &Upstream, const UpstreamAttempt &Attempt,
              const std::string &RequestId, traffic::AttemptResult Result,
              base::TimePoint Started);

private:
  /// Records whether the response said that the upstream leaves.
  void recordLeaving(traffic::UpstreamState &Upstream,
                     const UpstreamAttempt &Attempt,
                     const std::string &RequestId);
  /// Records for how long the response asked this VM for no requests, or that
  /// it did not ask.
  void recordQuiet(traffic::UpstreamState &Upstream,
                   const UpstreamAttempt &Attempt, const std::string &RequestId,
                   base::TimePoint Started);
  void endTrial(traffic::UpstreamState &Upstream, const std::string &RequestId,
                base::TimePoint Started);
  /// Records the request rate that the response named, or that it named none.
  void recordNamedLimit(traffic::UpstreamState &Upstream,
                        const UpstreamAttempt &Attempt,
                        const std::string &RequestId,
                        traffic::AttemptResult Result, base::TimePoint Started);

  VmState &State_;
};

} // namespace ebony::vm

#endif
