#ifndef EBONY_VM_REQUESTEXCHANGE_H
#define EBONY_VM_REQUESTEXCHANGE_H

#include "asynckit/autoresetevent.h"
#include "traffic/attempttally.h"
#include "traffic/requestfingerprint.h"
#include "vm/asyncdispatcher.h"
#include "vm/headcheck.h"
#include "vm/quotaadmission.h"
#include "vm/requestorigin.h"
#include "vm/requestoutcome.h"
#include "vm/requestrelay.h"
#include "vm/responsewriter.h"
#include "vm/upstreamattempt.h"

namespace ebony::vm {

/// One request of a caller: its admission, placement, attempts and outcome.
/// Knows neither the connection nor its other requests.
class RequestExchange : public std::enable_shared_from_this<RequestExchange> {
public:
  /// \p Arrived is the time at which the request could be read. \p MoreBody
  /// returns the part of the body that is not in \p Request. \p OnResponse is
  /// called when the response is available.
  RequestExchange(VmState &State, AsyncDispatcher &Dispatcher,
                  QuotaAdmission &Admission, RequestOrigin Origin,
                  CallerRequest Request, base::TimePoint Arrived,
                  BodySource MoreBody, std::function<void()> OnResponse);

  /// Returns whether the route forbids that the request is repeated.
  bool isAtMostOnce() const;

  /// Starts to process the request. \p IsAlone is whether no other request of
  /// the connection is processed; one that must not be repeated is refused
  /// otherwise.
  void start(bool IsAlone);

  /// Answers the request without processing it, such as a malformed one.
  void reject(const RequestRefusal &Refusal);

  /// Ends the processing: the caller has disconnected.
  void abandon();

  /// Waits until the response is available or the exchange was abandoned.
  asynckit::awaitable<void> awaitResponse();

  /// Sends the response. Returns whether it was sent completely. Must not be
  /// called for an abandoned exchange.
  asynckit::awaitable<bool> writeResponse(ResponseWriter &Writer,
                                          bool KeepsOpen);

  bool wasAbandoned() const { return IsAbandoned_; }
  /// Returns the memory that the request and its response take.
  std::size_t heldBytes() const;
  const CallerRequest &request() const { return Request_; }

private:
  static asynckit::awaitable<void> run(std::shared_ptr<RequestExchange> Self,
                                       bool IsAlone);
  asynckit::awaitable<void> process(bool IsAlone);
  asynckit::awaitable<void> forward(std::unique_ptr<traffic::Job> Job,
                                    const traffic::RouteSettings &Route);
  /// Has another VM process the request if this one reaches no upstream.
  /// Returns false if the request has to be processed here.
  asynckit::awaitable<bool> relay(std::vector<base::RegionName> HomeRegions,
                                  base::TimePoint Deadline);
  AttemptOptions attemptOptions(const PlacedJob &Chosen,
                                const traffic::RouteSettings &Route);
  /// Logs and counts a send to an upstream that is cold.
  void recordColdSend(const traffic::UpstreamState &Upstream);
  /// Records what an attempt shows about the way to the upstreams.
  /// Logs why what the upstream sent is no response, if it is none.
  void logProblem();
  void recordReachability(const traffic::UpstreamState &Upstream,
                          traffic::AttemptResult Result);
  /// Finds out whether the upstream ended while it ran the request, which was
  /// sent at \p Started, and records it.
  static asynckit::awaitable<void>
  investigateLoss(std::shared_ptr<RequestExchange> Self,
                  traffic::UpstreamPtr Upstream, base::TimePoint Started);
  /// Returns for how long the request is refused because requests with its
  /// content end upstreams, if it is.
  std::optional<base::Duration> refusedForCrashes();
  /// Returns the request's fingerprint; its customer must be known.
  traffic::RequestFingerprint fingerprint();
  bool settleAttempt(const traffic::Job &Job,
                     const traffic::RouteSettings &Route,
                     traffic::AttemptResult Result, base::TimePoint Started);
  void answer(unsigned Status, std::string Reason, base::Duration RetryAfter);
  void finishAbandoned();
  void setResponseReady();
  void logOutcome();

  VmState &State_;
  AsyncDispatcher &AsyncDispatcher_;
  QuotaAdmission &Admission_;
  RequestOrigin Origin_;
  CallerRequest Request_;
  BodySource MoreBody_;
  std::function<void()> OnResponse_;
  const base::HolderCountPtr Counted_;
  RequestOutcome Outcome_;
  std::optional<traffic::RequestFingerprint> Fingerprint_;
  traffic::AttemptTally Tally_;
  asynckit::AutoResetEvent ResponseReady_;
  std::shared_ptr<UpstreamAttempt> Attempt_;
  /// The VM's own response; empty if an upstream's is relayed.
  std::optional<LocalResponse> OwnResponse_;
  traffic::JobId JobId_ = 0;
  base::TimePoint ReadySince_{};
  bool HasStarted_ = false;
  bool IsReady_ = false;
  bool IsWriting_ = false;
  bool IsAbandoned_ = false;
};

} // namespace ebony::vm

#endif
