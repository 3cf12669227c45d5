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

/// What a caller, or the VM that passed a submission on, reads.
struct Reply {
  idempotency::Outcome Outcome_ = idempotency::Outcome::Unknown;
  idempotency::Reason Reason_ = idempotency::Reason::None;
  std::string Body_;
  idempotency::SubmissionOwner Hint_;
};

/// One submission and the operation that the upstream's ledger counts.
struct Job {
  idempotency::Submission Request_;
  std::string Operation_;
  std::function<void(const Reply &)> Done_;
};

/// One incarnation of an entry VM: a thin shell round the decisions.
class VmFake {
public:
  VmFake(FleetFake &Fleet, const idempotency::SubmissionOwner &Self);

  const idempotency::SubmissionOwner &self() const { return Store_.self(); }
  idempotency::SubmissionStore &store() { return Store_; }

  void submit(const Job &One);
  void crash() { Alive_ = false; }
  bool isAlive() const { return Alive_; }
  bool isListening() const { return Alive_ && !Closing_; }

  /// True when it was told to stop before \p When.
  bool isStopping(base::TimePoint When) const {
    return Stopped_ && *Stopped_ < When;
  }

  /// Hands the memory to \p Successor, finishes what runs, and ends.
  void stop(const idempotency::SubmissionOwner &Successor);

private:
  struct Passing {
    Job Job_;
    idempotency::SubmissionOwner Owner_;
    int Left_ = 3;
    bool Sent_ = false;
  };

  void act(const Job &One, const idempotency::SubmissionDecision &Decision);
  void run(const Job &One, idempotency::AttemptTracker Tries);
  void ended(const Job &One, idempotency::Outcome End,
             const idempotency::StoredAnswerPtr &Answer);
  void claim(const Job &One, const idempotency::ClaimRow &Row);
  void stepClaims();
  void pass(const Passing &One);
  void offerHandover(int AttemptsLeft);
  void handleHandoverReply(idempotency::HandoverReply Reply);
  EventQueue::Event guard(const std::function<void()> &Work);

  FleetFake &Fleet_;
  idempotency::SubmissionStore Store_;
  idempotency::ClaimBatcher Claims_;
  std::map<std::string, Job> Claiming_;
  std::map<std::string, std::vector<Job>> Joined_;
  idempotency::HandoverSender Sender_;
  idempotency::Handover Offer_;
  std::vector<idempotency::CompletionNotice> Notices_;
  std::vector<Job> Parked_;
  /// Submissions without an answer yet.
  int Open_ = 0;
  int NextRequest_ = 0;
  bool Alive_ = true;
  bool Closing_ = false;
  std::optional<base::TimePoint> Stopped_;
};

} // namespace ebony::tests

#endif
