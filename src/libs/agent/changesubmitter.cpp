#include "agent/changesubmitter.h"

#include "base/backoff.h"
#include "records/configurationbuilder.h"
#include "records/recordparser.h"

#include <thread>

namespace ebony::agent {

namespace {

constexpr base::Duration FirstRetry = std::chrono::milliseconds(50);
constexpr base::Duration LongestRetry = std::chrono::milliseconds(500);
constexpr base::Duration SubmitTimeout = std::chrono::seconds(10);

SubmitStatus statusOf(config::CommitResult Result) {
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

base::Findings check(const records::Configuration &Before,
                     const std::vector<config::RecordChange> &Changes) {
  records::ConfigurationBuilder Builder(Before);
  base::Findings Report;
  for (const config::RecordChange &One : Changes) {
    if (One.isDeletion()) {
      if (const auto Kind = records::parseRecordKind(One.Id_.Kind_))
        Builder.remove(*Kind, One.Id_.Name_);
      continue;
    }
    const auto Parsed =
        records::parseRecord(One.Id_.Kind_ + " " + One.Id_.Name_, *One.Text_);
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

SubmitResult ChangeSubmitter::submit(const Submission &One) {
  const auto Before = State_.configuration();
  if (One.ExpectedRevision_ >= 0 && One.ExpectedRevision_ != Before->revision())
    return {SubmitStatus::Raced, Before->revision(), {}};
  base::Findings Report = check(*Before, One.Changes_);
  if (!Report.empty())
    return {SubmitStatus::Invalid, Before->revision(), std::move(Report)};
  config::ChangeSet Change{Before->revision() + 1, One.Operation_,
                           One.Changes_};
  config::ChangeCommitter Committer(std::move(Change));
  return commit(Committer);
}

SubmitResult ChangeSubmitter::commit(config::ChangeCommitter &Committer) {
  const base::TimePoint Until = Clock_.now() + SubmitTimeout;
  base::Backoff Retry(FirstRetry, LongestRetry,
                      base::RandomEngine(static_cast<std::uint64_t>(
                          Clock_.now().time_since_epoch().count())));
  while (const auto Request = Committer.nextRequest()) {
    const config::TableReply Reply = Store_.perform(*Request);
    Committer.handle(Reply);
    if (Committer.outcome())
      break;
    if (Clock_.now() >= Until)
      return {Committer.isOutcomeUnknown() ? SubmitStatus::Unknown
                                           : SubmitStatus::Unavailable,
              State_.revision(),
              {}};
    if (Reply.Outcome_ != config::TableOutcome::Done)
      std::this_thread::sleep_for(Retry.next());
  }
  const config::CommitOutcome &Outcome = *Committer.outcome();
  return {statusOf(Outcome.Result_), Outcome.Revision_, {}};
}

} // namespace ebony::agent
