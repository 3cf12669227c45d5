#include "config/snapshotwriter.h"

#include <functional>

#include "config/changecodec.h"
#include "config/configkeys.h"

namespace ebony::config {

SnapshotWriter::SnapshotWriter(const RecordSet &Records,
                               SnapshotSettings Settings)
    : Revision_(Records.revision()),
      Bytes_(ChangeCodec::encodeSnapshot(Records)), Settings_(Settings) {}

bool SnapshotWriter::isDue(Revision Committed,
                           const SnapshotSettings &Settings) {
  return Committed > 0 && Committed % Settings.Interval_ == 0;
}

std::optional<StoreRequest> SnapshotWriter::nextRequest() const {
  switch (Step_) {
  case Step::PutObject:
    return StoreRequest::putObject(ConfigKeys::snapshotObject(Revision_),
                                   Bytes_);
  case Step::ReadRow:
    return StoreRequest::row(ConfigKeys::snapshot());
  case Step::WriteRow:
    return writeRow();
  case Step::ScanOld:
    return StoreRequest::scan(ConfigKeys::changes(), "",
                              Settings_.MaxDeletedChanges_);
  case Step::DeleteOld:
    return StoreRequest::transact({{}, {}, PrunedKeys_});
  case Step::Finished:
    break;
  }
  return std::nullopt;
}

void SnapshotWriter::handle(const TableReply &Reply) {
  using Handler = void (SnapshotWriter::*)(const TableReply &);
  // Indexed by Step.
  static constexpr Handler Handlers[] = {
      &SnapshotWriter::onPutObject, &SnapshotWriter::onReadRow,
      &SnapshotWriter::onWriteRow, &SnapshotWriter::onScanOld,
      &SnapshotWriter::onDeleteOld};
  const Step HandledStep = Step_;
  Step_ = Step::Finished;
  if (HandledStep != Step::Finished && Reply.Outcome_ == TableOutcome::Done)
    std::invoke(Handlers[static_cast<std::size_t>(HandledStep)], this, Reply);
}

void SnapshotWriter::onPutObject(const TableReply &) { Step_ = Step::ReadRow; }

void SnapshotWriter::onReadRow(const TableReply &Reply) {
  if (Reply.Rows_.empty())
    return;
  const TableRow &Row = Reply.Rows_.front();
  if (Row.exists()) {
    const auto SnapshotRevision = ChangeCodec::decodeRevision(Row.Value_);
    if (SnapshotRevision && SnapshotRevision.value() >= Revision_)
      return;
  }
  RowVersion_ = Row.Version_;
  Step_ = Step::WriteRow;
}

void SnapshotWriter::onWriteRow(const TableReply &) { Step_ = Step::ScanOld; }

// Deletes old rows only after the snapshot row refers to a later revision.
void SnapshotWriter::onScanOld(const TableReply &Reply) {
  for (const TableRow &Row : Reply.Rows_) {
    const auto Change = ChangeCodec::decodeChange(Row.Value_);
    // Another writer's row is left alone.
    if (!Change || Row.Key_ != ConfigKeys::change(Change.value().Revision_))
      continue;
    if (Change.value().Revision_ > Revision_ - Settings_.KeptChanges_)
      break;
    PrunedKeys_.push_back(Row.Key_);
    PrunedKeys_.push_back(ConfigKeys::operation(Change.value().Operation_));
  }
  if (!PrunedKeys_.empty())
    Step_ = Step::DeleteOld;
}

void SnapshotWriter::onDeleteOld(const TableReply &) {}

StoreRequest SnapshotWriter::writeRow() const {
  return StoreRequest::transact(
      {{{ConfigKeys::snapshot(), RowVersion_}},
       {{ConfigKeys::snapshot(), ChangeCodec::encodeRevision(Revision_)}},
       {}});
}

} // namespace ebony::config
