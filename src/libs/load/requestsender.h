#ifndef EBONY_LOAD_REQUESTSENDER_H
#define EBONY_LOAD_REQUESTSENDER_H

#include "base/clock.h"
#include "load/arrivalplan.h"
#include "load/fleet.h"
#include "load/httpcaller.h"
#include "load/lookupcache.h"
#include "load/requestrecord.h"
#include "load/workload.h"

#include <atomic>

namespace ebony::load {

/// Sends requests as a caller does: looks up the entry VMs, submits to one, and
/// retries where that is safe. Thread-safe.
class RequestSender {
public:
  /// All arguments must outlive the sender. \p Start is the start of the run.
  RequestSender(const Fleet &TargetFleet, const Workload &Load,
                HttpCaller &Caller, LookupCache &Lookups,
                const base::Clock &Clock, base::TimePoint Start);

  RequestRecord send(const Arrival &Planned);

private:
  struct SubmissionContext;

  base::Duration sinceStart() const { return Clock_.now() - Start_; }
  OutgoingRequest buildRequest(const SubmissionContext &Context,
                               int Attempt) const;
  void submit(const SubmissionContext &Context, int Attempt, const EntryVm &Vm,
              RequestRecord &Record);
  static bool mayRetry(const RequestClass &Class, const AttemptRecord &Last);

  const Fleet &Fleet_;
  const Workload &Workload_;
  HttpCaller &Caller_;
  LookupCache &Lookups_;
  const base::Clock &Clock_;
  base::TimePoint Start_;
  std::atomic<std::uint64_t> RequestCounter_{0};
};

} // namespace ebony::load

#endif
