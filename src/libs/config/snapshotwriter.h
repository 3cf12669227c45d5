#ifndef EBONY_CONFIG_SNAPSHOTWRITER_H
#define EBONY_CONFIG_SNAPSHOTWRITER_H

#include "config/recordset.h"
#include "config/storerequest.h"
#include "config/tablereply.h"

#include <optional>

namespace ebony::config {

/// How often snapshots are written and how long rows are kept.
struct SnapshotSettings {
  /// A snapshot is written at every multiple of this revision.
  Revision Interval_ = 512;
  /// Change and operation rows older than this many revisions are deleted.
  Revision KeptChanges_ = 20000;
  /// Maximum number of changes deleted after each snapshot; more than
  /// Interval_, so that deletion keeps up with commits.
  std::size_t MaxDeletedChanges_ = 640;

  friend bool operator==(const SnapshotSettings &,
                         const SnapshotSettings &) = default;
};

/// Writes one snapshot object, updates the snapshot row and deletes old rows.
/// Runs in the process that committed the revision. If a step fails, the next
/// snapshot covers the same changes.
class SnapshotWriter {
public:
  /// \p Records must be at a revision for which isDue() returns true.
  SnapshotWriter(const RecordSet &Records, SnapshotSettings Settings);

  static bool isDue(Revision Committed, const SnapshotSettings &Settings);

  /// Returns the next request, or std::nullopt when finished or failed.
  std::optional<StoreRequest> nextRequest() const;

  /// Processes the reply to the last request; any failure ends the attempt.
  void handle(const TableReply &Reply);

private:
  enum class Step {
    PutObject,
    ReadRow,
    WriteRow,
    ScanOld,
    DeleteOld,
    Finished
  };

  void onPutObject(const TableReply &Reply);
  void onReadRow(const TableReply &Reply);
  void onWriteRow(const TableReply &Reply);
  void onScanOld(const TableReply &Reply);
  void onDeleteOld(const TableReply &Reply);
  StoreRequest writeRow() const;

  Revision Revision_;
  std::string Bytes_;
  SnapshotSettings Settings_;
  Step Step_ = Step::PutObject;
  RowVersion RowVersion_ = 0;
  std::vector<std::string> PrunedKeys_;
};

} // namespace ebony::config

#endif
