#ifndef EBONY_IDEMPOTENCY_SUBMISSIONDECISION_H
#define EBONY_IDEMPOTENCY_SUBMISSIONDECISION_H

#include "idempotency/claim.h"
#include "idempotency/outcome.h"
#include "idempotency/reason.h"
#include "idempotency/storedanswer.h"
#include "idempotency/submissionowner.h"

#include <cstdint>
#include <utility>

namespace ebony::idempotency {

/// Decision about how a VM handles a submission.
class SubmissionDecision {
public:
  enum class Action : std::uint8_t {
    Run,     ///< Send it to an upstream, then call finishRun().
    Claim,   ///< Claim its key in the table service first.
    Join,    ///< Wait for a running copy to finish.
    Replay,  ///< Return the stored answer.
    Forward, ///< Forward it to owner().
    Answer   ///< Report outcome() and reason() to the caller.
  };

  static SubmissionDecision run() { return SubmissionDecision(Action::Run); }
  static SubmissionDecision join() { return SubmissionDecision(Action::Join); }
  static SubmissionDecision claim(ClaimRow Row) {
    SubmissionDecision Decision(Action::Claim);
    Decision.Claim_ = std::move(Row);
    return Decision;
  }
  static SubmissionDecision replay(StoredAnswerPtr Answer) {
    SubmissionDecision Decision(Action::Replay);
    Decision.Outcome_ = Outcome::Complete;
    Decision.Answer_ = std::move(Answer);
    return Decision;
  }
  static SubmissionDecision forward(SubmissionOwner Owner) {
    SubmissionDecision Decision(Action::Forward);
    Decision.Owner_ = std::move(Owner);
    return Decision;
  }
  static SubmissionDecision answer(Outcome Result, Reason Cause) {
    SubmissionDecision Decision(Action::Answer);
    Decision.Outcome_ = Result;
    Decision.Reason_ = Cause;
    return Decision;
  }

  /// Returns this decision with the present owner as a hint for the sender.
  SubmissionDecision withOwner(SubmissionOwner Owner) const {
    SubmissionDecision Decision = *this;
    Decision.Owner_ = std::move(Owner);
    return Decision;
  }

  Action action() const { return Action_; }
  Outcome outcome() const { return Outcome_; }
  Reason reason() const { return Reason_; }
  const StoredAnswerPtr &answer() const { return Answer_; }

  /// Returns the VM to forward to, or a hint at the present owner; may be
  /// empty.
  const SubmissionOwner &owner() const { return Owner_; }

  /// Returns the row to insert for the key.
  const ClaimRow &claimRow() const { return Claim_; }

  friend bool operator==(const SubmissionDecision &,
                         const SubmissionDecision &) = default;

private:
  explicit SubmissionDecision(Action Result) : Action_(Result) {}

  Action Action_;
  Outcome Outcome_ = Outcome::NotRun;
  Reason Reason_ = Reason::None;
  StoredAnswerPtr Answer_;
  SubmissionOwner Owner_;
  ClaimRow Claim_;
};

} // namespace ebony::idempotency

#endif
