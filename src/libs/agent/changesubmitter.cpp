#include "agent/changesubmitter.h"

#include "base/backoff.h"
#include "records/configurationbuilder.h"
#include "records/recordparser.h"

#include <thread>

namespace ebony::agent {

namespace {

constexpr base::Duration InitialRetryDelay = std::chrono::milliseconds(50);
constexpr base::Duration MaxRetryDelay = std::chrono::milliseconds(500);
constexpr base::Duration SubmitTimeout = std::chrono::seconds(10);

SubmitStatus toSubmitStatus(config::CommitResult Result) {
  switch (Result) {
  case config::CommitResult::Committed:
    return SubmitStatus::Committed;
  case config::CommitResult::Raced:
    return SubmitStatus::Raced;
  case config::CommitResult::OperationReused:
    break;
  }
  return SubmitStatus::OperationReused;
}

base::Findings
validateChanges(const records::Configuration &Current,
                const std::vector<config::RecordChange> &Changes) {
  records::ConfigurationBuilder Builder(Current);
  base::Findings Report;
  for (const config::RecordChange &Change : Changes) {
    if (Change.isDeletion()) {
      if (const auto Kind = records::parseRecordKind(Change.Id_.Kind_))
        Builder.remove(*Kind, Change.Id_.Name_);
      continue;
    }
    const auto Parsed = records::parseRecord(
        Change.Id_.Kind_ + " " + Change.Id_.Name_, *Change.Text_);
    if (Parsed.has_error())
      Report.insert(Report.end(), Parsed.error().begin(), Parsed.error().end());
    else
      Builder.put(Parsed.value());
  }
  const base::Findings References = Builder.check("");
  Report.insert(Report.end(), References.begin(), References.end());
  return Report;
}

} // namespace

ChangeSubmitter::ChangeSubmitter(fleet::FleetState &State,
                                 config::StoreClient Store,
                                 const base::Clock &Clock)
    : State_(State), Store_(Store), Clock_(Clock) {}

SubmitResult ChangeSubmitter::submit(const ChangeSubmission &Submission) {
  const auto Current = State_.configuration();
  if (Submission.ExpectedRevision_ >= 0 &&
      Submission.ExpectedRevision_ != Current->revision())
    return {SubmitStatus::Raced, Current->revision(), {}};
  base::Findings Report = validateChanges(*Current, Submission.Changes_);
  if (!Report.empty())
    return {SubmitStatus::Invalid, Current->revision(), std::move(Report)};
  config::ChangeSet Change{Current->revision() + 1, Submission.Operation_,
                           Submission.Changes_};
  config::ChangeCommitter Committer(std::move(Change));
  return commit(Committer);
}

SubmitResult ChangeSubmitter::commit(config::ChangeCommitter &Committer) {
  const base::TimePoint Deadline = Clock_.now() + SubmitTimeout;
  base::Backoff RetryBackoff(InitialRetryDelay, MaxRetryDelay,
                             base::RandomEngine(static_cast<std::uint64_t>(
                                 Clock_.now().time_since_epoch().count())));
  while (const auto Request = Committer.nextRequest()) {
    const config::TableReply Reply = Store_.perform(*Request);
    Committer.handle(Reply);
    if (Committer.outcome())
      break;
    if (Clock_.now() >= Deadline)
      return {Committer.isOutcomeUnknown() ? SubmitStatus::Unknown
                                           : SubmitStatus::Unavailable,
              State_.revision(),
              {}};
    if (Reply.Outcome_ != config::TableOutcome::Done)
      std::this_thread::sleep_for(RetryBackoff.next());
  }
  const config::CommitOutcome &Outcome = *Committer.outcome();
  return {toSubmitStatus(Outcome.Result_), Outcome.Revision_, {}};
}

} // namespace ebony::agent
