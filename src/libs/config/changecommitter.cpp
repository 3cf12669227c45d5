#include "config/changecommitter.h"

#include <functional>

#include "config/changecodec.h"
#include "config/configkeys.h"

namespace ebony::config {

ChangeCommitter::ChangeCommitter(ChangeSet Change)
    : Change_(std::move(Change)),
      Digest_(ChangeCodec::digest(Change_.Changes_)) {}

std::optional<StoreRequest> ChangeCommitter::nextRequest() const {
  if (Outcome_)
    return std::nullopt;
  if (Step_ == Step::ReadHead)
    return StoreRequest::row(ConfigKeys::head());
  if (Step_ == Step::Transact)
    return StoreRequest::transact(transaction());
  return StoreRequest::row(ConfigKeys::operation(Change_.Operation_));
}

void ChangeCommitter::handle(const TableReply &Reply) {
  using Handler = void (ChangeCommitter::*)(const TableReply &);
  // Indexed by Step.
  static constexpr Handler Handlers[] = {
      &ChangeCommitter::onHead, &ChangeCommitter::onTransact,
      &ChangeCommitter::onReadBack, &ChangeCommitter::onConfirmRaceLost};
  if (!Outcome_)
    std::invoke(Handlers[static_cast<std::size_t>(Step_)], this, Reply);
}

void ChangeCommitter::recordApplied(const ChangeSet &Change) {
  if (!Outcome_ && Change == Change_)
    Outcome_ = CommitOutcome{CommitResult::Committed, Change_.Revision_};
}

// If the head is still at the base revision, no transaction of this committer
// has taken effect. If the head has moved, none can take effect any more, and
// the operation row shows whether one did.
void ChangeCommitter::onHead(const TableReply &Reply) {
  if (Reply.Outcome_ != TableOutcome::Done || Reply.Rows_.empty())
    return;
  const TableRow &Head = Reply.Rows_.front();
  HeadVersion_ = Head.Version_;
  HeadRevision_ = 0;
  if (Head.exists()) {
    const auto Decoded = ChangeCodec::decodeRevision(Head.Value_);
    if (!Decoded)
      return;
    HeadRevision_ = Decoded.value();
  }
  Step_ = HeadRevision_ + 1 == Change_.Revision_ ? Step::Transact
                                                 : Step::ConfirmRaceLost;
}

void ChangeCommitter::onTransact(const TableReply &Reply) {
  if (Reply.Outcome_ == TableOutcome::Done) {
    Outcome_ = CommitOutcome{CommitResult::Committed, Change_.Revision_};
  } else if (Reply.Outcome_ == TableOutcome::Conflict) {
    Step_ = Step::ReadHead;
  } else if (Reply.Outcome_ == TableOutcome::Unknown) {
    SentWithoutReply_ = true;
    Step_ = Step::ReadBack;
  }
}

// An absent row does not prove failure: the transaction may still be in flight.
// The head is read next. A retried transaction has the same conditions, so at
// most one of the two takes effect.
void ChangeCommitter::onReadBack(const TableReply &Reply) {
  if (Reply.Outcome_ != TableOutcome::Done || Reply.Rows_.empty())
    return;
  if (!resolveFromOperationRow(Reply.Rows_.front()))
    Step_ = Step::ReadHead;
}

void ChangeCommitter::onConfirmRaceLost(const TableReply &Reply) {
  if (Reply.Outcome_ != TableOutcome::Done || Reply.Rows_.empty())
    return;
  if (!resolveFromOperationRow(Reply.Rows_.front()))
    Outcome_ = CommitOutcome{CommitResult::Raced, HeadRevision_};
}

bool ChangeCommitter::resolveFromOperationRow(const TableRow &Operation) {
  if (!Operation.exists())
    return false;
  const auto Entry = ChangeCodec::decodeOperation(Operation.Value_);
  if (!Entry)
    return false;
  const bool SameChange = Entry.value().Digest_ == Digest_;
  Outcome_ = CommitOutcome{SameChange ? CommitResult::Committed
                                      : CommitResult::OperationReused,
                           Entry.value().Revision_};
  return true;
}

TableTransaction ChangeCommitter::transaction() const {
  const std::string ChangeKey = ConfigKeys::change(Change_.Revision_);
  const std::string OperationKey = ConfigKeys::operation(Change_.Operation_);
  return {
      {{ConfigKeys::head(), HeadVersion_}, {ChangeKey, 0}, {OperationKey, 0}},
      {{ConfigKeys::head(), ChangeCodec::encodeRevision(Change_.Revision_)},
       {ChangeKey, ChangeCodec::encode(Change_)},
       {OperationKey,
        ChangeCodec::encodeOperation({Change_.Revision_, Digest_})}},
      {}};
}

} // namespace ebony::config
