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
    Run,    ///< Send it to an upstream, then report the end.
    Claim,  ///< Claim its key in the table service first.
    Join,   ///< Wait for the end of a copy that runs.
    Replay, ///< Give the stored answer.
    PassOn, ///< Pass it to holder().
    Answer  ///< Answer outcome() with reason().
  };

  static SubmissionDecision run() { return SubmissionDecision(Action::Run); }
  static SubmissionDecision join() { return SubmissionDecision(Action::Join); }
  static SubmissionDecision claim(ClaimRow Row) {
    SubmissionDecision Made(Action::Claim);
    Made.Claim_ = std::move(Row);
    return Made;
  }
  static SubmissionDecision replay(StoredAnswerPtr Answer) {
    SubmissionDecision Made(Action::Replay);
    Made.Outcome_ = Outcome::Complete;
    Made.Answer_ = std::move(Answer);
    return Made;
  }
  static SubmissionDecision passOn(MemoryHolder Holder) {
    SubmissionDecision Made(Action::PassOn);
    Made.Holder_ = std::move(Holder);
    return Made;
  }
  static SubmissionDecision answer(Outcome Which, Reason Why) {
    SubmissionDecision Made(Action::Answer);
    Made.Outcome_ = Which;
    Made.Reason_ = Why;
    return Made;
  }

  /// This answer with a hint at the VM that holds the memory now.
  SubmissionDecision withHolder(MemoryHolder Holder) const {
    SubmissionDecision Made = *this;
    Made.Holder_ = std::move(Holder);
    return Made;
  }

  Action action() const { return Action_; }
  Outcome outcome() const { return Outcome_; }
  Reason reason() const { return Reason_; }
  const StoredAnswerPtr &answer() const { return Answer_; }

  /// Where to pass it on, or a hint at the present holder; may be empty.
  const MemoryHolder &holder() const { return Holder_; }

  /// The row to insert for the key.
  const ClaimRow &claimRow() const { return Claim_; }

  friend bool operator==(const SubmissionDecision &,
                         const SubmissionDecision &) = default;

private:
  explicit SubmissionDecision(Action Which) : Action_(Which) {}

  Action Action_;
  Outcome Outcome_ = Outcome::NotRun;
  Reason Reason_ = Reason::None;
  StoredAnswerPtr Answer_;
  MemoryHolder Holder_;
  ClaimRow Claim_;
};

} // namespace ebony::idempotency

#endif
