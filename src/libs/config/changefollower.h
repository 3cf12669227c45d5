#ifndef EBONY_CONFIG_CHANGEFOLLOWER_H
#define EBONY_CONFIG_CHANGEFOLLOWER_H

#include "config/configreplica.h"
#include "config/freshnessevidence.h"
#include "config/storerequest.h"
#include "config/tablereply.h"

#include <optional>

namespace ebony::config {

/// Intervals and limits of a ChangeFollower.
struct FollowerSettings {
  /// Interval between two polls of the head row.
  base::Duration PollInterval_ = std::chrono::milliseconds(500);
  /// A replica that is more revisions behind reads a snapshot first.
  Revision SnapshotGap_ = 1024;
  /// Change rows read by one scan.
  std::size_t ScanLimit_ = 256;

  friend bool operator==(const FollowerSettings &,
                         const FollowerSettings &) = default;
};

/// Keeps a replica current with the table service: polls the head and reads the
/// missing changes, or a snapshot when too many are missing.
class ChangeFollower {
public:
  ChangeFollower(ConfigReplica &Replica, FollowerSettings Settings);

  /// Returns the request to perform now, or std::nullopt if no poll is due.
  std::optional<StoreRequest> nextRequest(base::TimePoint Now);

  /// Makes the next poll due at once.
  void pollNow() { PollDue_ = true; }

  /// Processes the reply to the last request.
  void handle(const TableReply &Reply);

  /// Returns the newest evidence that a poll of the table service gave.
  const std::optional<FreshnessEvidence> &evidence() const { return Evidence_; }

  /// Returns the head revision last accepted from the table service.
  Revision newestHead() const { return Head_; }

  /// Returns true if the last head row read had a revision below the one
  /// applied before the poll was sent: the table has lost changes.
  bool hasTableLostChanges() const { return TableLostChanges_; }

private:
  enum class Step { ReadHead, ReadChanges, ReadSnapshotRow, ReadSnapshot };

  void onHead(const TableReply &Reply);
  void onChanges(const TableReply &Reply);
  void onSnapshotRow(const TableReply &Reply);
  void onSnapshot(const TableReply &Reply);
  void advance();
  /// Returns the key of the change that follows the last one applied.
  std::string nextKey() const;

  ConfigReplica &Replica_;
  FollowerSettings Settings_;
  Step Step_ = Step::ReadHead;
  bool PollDue_ = true;
  base::TimePoint PolledAt_;
  Revision AppliedAtPoll_ = 0;
  Revision Head_ = 0;
  Revision Snapshot_ = 0;
  /// Last key of a page that ended before the next change.
  std::string ScannedUntil_;
  bool SnapshotTried_ = false;
  std::optional<FreshnessEvidence> Evidence_;
  bool TableLostChanges_ = false;
};

} // namespace ebony::config

#endif
