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

/// What a VM does with a submission.
class SubmissionDecision {
public:
  enum class Action : std::uint8_t {
    Run,     ///< Send it to an upstream, then report the end.
    Claim,   ///< Claim its key in the table service first.
    Join,    ///< Wait for the end of a copy that runs.
    Replay,  ///< Give the stored answer.
    Forward, ///< Pass it to holder().
    Answer   ///< Answer outcome() with reason().
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

  /// This answer with a hint at the VM that holds the memory now.
  SubmissionDecision withOwner(SubmissionOwner Owner) const {
    SubmissionDecision Decision = *this;
    Decision.Owner_ = std::move(Owner);
    return Decision;
  }

  Action action() const { return Action_; }
  Outcome outcome() const { return Outcome_; }
  Reason reason() const { return Reason_; }
  const StoredAnswerPtr &answer() const { return Answer_; }

  /// Where to pass it on, or a hint at the present holder; may be empty.
  const SubmissionOwner &owner() const { return Owner_; }

  /// The row to insert for the key.
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
