#include "config/changefollower.h"

#include <algorithm>
#include <functional>

#include "config/changecodec.h"
#include "config/configkeys.h"

namespace ebony::config {

ChangeFollower::ChangeFollower(ConfigReplica &Replica,
                               FollowerSettings Settings)
    : Replica_(Replica), Settings_(Settings) {}

std::optional<StoreRequest> ChangeFollower::nextRequest(base::TimePoint Now) {
  if (Step_ == Step::ReadChanges)
    return StoreRequest::scan(
        ConfigKeys::changes(),
        std::max(ConfigKeys::change(Replica_.revision()), ScannedUntil_),
        Settings_.ScanLimit_);
  if (Step_ == Step::ReadSnapshotRow)
    return StoreRequest::row(ConfigKeys::snapshot());
  if (Step_ == Step::ReadSnapshot)
    return StoreRequest::getObject(ConfigKeys::snapshotObject(Snapshot_));
  if (!PollDue_ && Now - PolledAt_ < Settings_.PollInterval_)
    return std::nullopt;
  PollDue_ = false;
  PolledAt_ = Now;
  SnapshotTried_ = false;
  AppliedAtPoll_ = Replica_.revision();
  return StoreRequest::row(ConfigKeys::head());
}

void ChangeFollower::handle(const TableReply &Reply) {
  using Handler = void (ChangeFollower::*)(const TableReply &);
  // Indexed by Step.
  static constexpr Handler Handlers[] = {
      &ChangeFollower::onHead, &ChangeFollower::onChanges,
      &ChangeFollower::onSnapshotRow, &ChangeFollower::onSnapshot};
  const Step HandledStep = Step_;
  Step_ = Step::ReadHead;
  if (Reply.Outcome_ == TableOutcome::Done)
    std::invoke(Handlers[static_cast<std::size_t>(HandledStep)], this, Reply);
}

void ChangeFollower::onHead(const TableReply &Reply) {
  if (Reply.Rows_.empty())
    return;
  const TableRow &Row = Reply.Rows_.front();
  const auto Decoded = Row.exists() ? ChangeCodec::decodeRevision(Row.Value_)
                                    : base::Checked<Revision>(Revision(0));
  if (!Decoded)
    return;
  TableLostChanges_ = Decoded.value() < AppliedAtPoll_;
  if (TableLostChanges_)
    return;
  Head_ = Decoded.value();
  advance();
}

// Changes from a peer may have advanced the replica past the polled head. The
// poll still proves that nothing newer than the head was committed before it
// was sent.
void ChangeFollower::advance() {
  const Revision Missing = Head_ - Replica_.revision();
  if (Missing <= 0)
    Evidence_ = FreshnessEvidence{Head_, PolledAt_};
  else
    Step_ = Missing > Settings_.SnapshotGap_ && !SnapshotTried_
                ? Step::ReadSnapshotRow
                : Step::ReadChanges;
}

std::string ChangeFollower::nextKey() const {
  return ConfigKeys::change(Replica_.revision() + 1);
}

void ChangeFollower::onChanges(const TableReply &Reply) {
  const Revision Before = Replica_.revision();
  for (const TableRow &Row : Reply.Rows_) {
    // Rows with other keys are those of another writer.
    if (Row.Key_ != nextKey())
      continue;
    const auto Change = ChangeCodec::decodeChange(Row.Value_);
    if (!Change)
      break;
    Replica_.apply(Change.value());
  }
  const bool MayFollow = !Reply.Rows_.empty() &&
                         Reply.Rows_.back().Key_ > ScannedUntil_ &&
                         Reply.Rows_.back().Key_ < nextKey();
  if (MayFollow) {
    ScannedUntil_ = Reply.Rows_.back().Key_;
    Step_ = Step::ReadChanges;
    return;
  }
  // Without progress the next row has been pruned or is damaged, so a snapshot
  // is needed.
  if (Replica_.revision() != Before || Replica_.revision() >= Head_)
    advance();
  else if (!SnapshotTried_)
    Step_ = Step::ReadSnapshotRow;
}

void ChangeFollower::onSnapshotRow(const TableReply &Reply) {
  SnapshotTried_ = true;
  if (Reply.Rows_.empty() || !Reply.Rows_.front().exists()) {
    Step_ = Step::ReadChanges;
    return;
  }
  const auto SnapshotRevision =
      ChangeCodec::decodeRevision(Reply.Rows_.front().Value_);
  if (!SnapshotRevision)
    return;
  Snapshot_ = SnapshotRevision.value();
  Step_ =
      Snapshot_ > Replica_.revision() ? Step::ReadSnapshot : Step::ReadChanges;
}

void ChangeFollower::onSnapshot(const TableReply &Reply) {
  if (Reply.Rows_.empty())
    return;
  const auto Records = ChangeCodec::decodeSnapshot(Reply.Rows_.front().Value_);
  if (!Records)
    return;
  Replica_.install(Records.value());
  advance();
}

} // namespace ebony::config
