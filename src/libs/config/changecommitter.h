#ifndef EBONY_CONFIG_CHANGECOMMITTER_H
#define EBONY_CONFIG_CHANGECOMMITTER_H

#include "config/changeset.h"
#include "config/commitoutcome.h"
#include "config/storerequest.h"
#include "config/tablereply.h"

#include <optional>

namespace ebony::config {

/// Commits one change on top of its base revision. The caller performs
/// nextRequest(), passes the reply to handle(), and repeats this, with a
/// backoff after replies that are not Done, until there is an outcome.
class ChangeCommitter {
public:
  /// The revision of \p Change must be the one after its base revision.
  explicit ChangeCommitter(ChangeSet Change);

  /// Returns the next request, or std::nullopt once there is an outcome.
  std::optional<StoreRequest> nextRequest() const;

  /// Processes the reply to the last request.
  void handle(const TableReply &Reply);

  /// Records that \p Change was applied, as learned from another source.
  void recordApplied(const ChangeSet &Change);

  const ChangeSet &change() const { return Change_; }
  const std::optional<CommitOutcome> &outcome() const { return Outcome_; }

  /// Returns true while a sent transaction may still take effect.
  bool isOutcomeUnknown() const { return SentWithoutReply_ && !Outcome_; }

private:
  enum class Step { ReadHead, Transact, ReadBack, ConfirmRaceLost };

  void onHead(const TableReply &Reply);
  void onTransact(const TableReply &Reply);
  void onReadBack(const TableReply &Reply);
  void onConfirmRaceLost(const TableReply &Reply);
  bool resolveFromOperationRow(const TableRow &Operation);
  TableTransaction transaction() const;

  ChangeSet Change_;
  std::string Digest_;
  Step Step_ = Step::ReadHead;
  RowVersion HeadVersion_ = 0;
  Revision HeadRevision_ = 0;
  bool SentWithoutReply_ = false;
  std::optional<CommitOutcome> Outcome_;
};

} // namespace ebony::config

#endif
