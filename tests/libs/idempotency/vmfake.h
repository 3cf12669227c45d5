#ifndef EBONY_TESTS_IDEMPOTENCY_VMFAKE_H
#define EBONY_TESTS_IDEMPOTENCY_VMFAKE_H

#include "idempotency/attempttracker.h"
#include "idempotency/handoversender.h"
#include "idempotency/submissionstore.h"
#include "libs/idempotency/tablefake.h"
#include "libs/idempotency/upstreamfake.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ebony::tests {

class FleetFake;

/// Reply to a caller or to the VM that forwarded a submission.
struct Reply {
  idempotency::Outcome Outcome_ = idempotency::Outcome::Unknown;
  idempotency::Reason Reason_ = idempotency::Reason::None;
  std::string Body_;
  idempotency::SubmissionOwner CurrentOwner_;
};

/// A submission and the name of its operation, by which upstreams count runs.
struct SubmissionTask {
  idempotency::Submission Request_;
  std::string Operation_;
  std::function<void(const Reply &)> Done_;
};

/// One incarnation of an entry VM. It carries out the decisions of a
/// SubmissionStore.
class VmFake {
public:
  VmFake(FleetFake &Fleet, const idempotency::SubmissionOwner &Self);

  const idempotency::SubmissionOwner &self() const { return Store_.self(); }
  idempotency::SubmissionStore &store() { return Store_; }

  void submit(const SubmissionTask &Task);
  void crash() { IsAlive_ = false; }
  bool isAlive() const { return IsAlive_; }
  bool isListening() const { return IsAlive_ && !IsClosing_; }

  /// Returns true if stop() was called before \p When.
  bool isStopping(base::TimePoint When) const {
    return Stopped_ && *Stopped_ < When;
  }

  /// Hands the registry over to \p Successor, finishes running submissions, and
  /// ends the VM.
  void stop(const idempotency::SubmissionOwner &Successor);

private:
  struct Forwarding {
    SubmissionTask Task_;
    idempotency::SubmissionOwner Owner_;
    int AttemptsLeft_ = 3;
    bool Sent_ = false;
  };

  void applyDecision(const SubmissionTask &Task,
                     const idempotency::SubmissionDecision &Decision);
  void run(const SubmissionTask &Task, idempotency::AttemptTracker Tracker);
  void finishRun(const SubmissionTask &Task, idempotency::Outcome Result,
                 const idempotency::StoredAnswerPtr &Answer);
  void claim(const SubmissionTask &Task, const idempotency::ClaimRow &Row);
  void advanceClaims();
  void forward(const Forwarding &Current);
  void offerHandover(int AttemptsLeft);
  void handleHandoverReply(idempotency::HandoverReply Reply);
  EventQueue::Event ifAlive(const std::function<void()> &Callback);

  FleetFake &Fleet_;
  idempotency::SubmissionStore Store_;
  idempotency::ClaimBatcher Claims_;
  std::map<std::string, SubmissionTask> AwaitingClaim_;
  std::map<std::string, std::vector<SubmissionTask>> Joined_;
  idempotency::HandoverSender Sender_;
  idempotency::Handover Offer_;
  std::vector<idempotency::CompletionNotice> CompletionNotices_;
  std::vector<SubmissionTask> Deferred_;
  /// Submissions that have no answer yet.
  int OpenSubmissions_ = 0;
  int NextRequest_ = 0;
  bool IsAlive_ = true;
  bool IsClosing_ = false;
  std::optional<base::TimePoint> Stopped_;
};

} // namespace ebony::tests

#endif
