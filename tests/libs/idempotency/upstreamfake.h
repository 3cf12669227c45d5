#ifndef EBONY_TESTS_IDEMPOTENCY_UPSTREAMFAKE_H
#define EBONY_TESTS_IDEMPOTENCY_UPSTREAMFAKE_H

#include "base/name.h"
#include "base/randomengine.h"
#include "libs/idempotency/eventqueue.h"
#include "libs/idempotency/faults.h"

#include <functional>
#include <map>
#include <string>

namespace ebony::tests {

/// Result of one exchange with an upstream as the VM observes it.
struct Exchange {
  bool Connected_ = true;
  /// The upstream answered that it did not run the submission.
  bool Refused_ = false;
  base::RequestId Answered_;
  std::string Body_;
  std::size_t AnnouncedBytes_ = 0;
  bool Closed_ = false;
};

/// Upstreams that crash before, during and after a run, and that lose, delay,
/// truncate and mix up answers. They count the runs of each operation, which
/// the tests compare with the outcomes that callers received.
class UpstreamFake {
public:
  using Reply = std::function<void(const Exchange &)>;

  UpstreamFake(EventQueue &Events, base::RandomEngine Random, Faults Rates)
      : Events_(Events), Random_(Random), Rates_(Rates) {}

  /// Sends a submission; calls \p Done at most once.
  void send(const base::RequestId &Id, const std::string &Operation,
            const Reply &Done);

  /// Returns how often \p Operation has run so far.
  int runs(const std::string &Operation) const;

  static std::string answerFor(const std::string &Operation) {
    return "done:" + Operation;
  }

private:
  base::Duration delay(int MaxMillis);

  EventQueue &Events_;
  base::RandomEngine Random_;
  Faults Rates_;
  base::RequestId PreviousRequest_;
  std::string PreviousBody_;
  std::map<std::string, int> RunCounts_;
};

} // namespace ebony::tests

#endif
