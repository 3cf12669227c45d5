#ifndef EBONY_CONFIG_CHANGECOMMITTER_H
#define EBONY_CONFIG_CHANGECOMMITTER_H

#include "config/changeset.h"
#include "config/commitoutcome.h"
#include "config/storerequest.h"
#include "config/tablereply.h"

#include <optional>

namespace ebony::config {

/// Commits one change on top of the revision that it was made for. The caller
/// performs nextRequest(), hands the reply to handle(), and repeats, with a
/// back-off after replies that are not Done, until there is an outcome.
class ChangeCommitter {
public:
  /// \p Change has the revision that follows the one it was checked against.
  explicit ChangeCommitter(ChangeSet Change);

  /// Request to perform next; empty once there is an outcome.
  std::optional<StoreRequest> nextRequest() const;

  /// Takes the reply to the last request.
  void handle(const TableReply &Reply);

  /// Takes word from elsewhere that \p Change is in force.
  void noteApplied(const ChangeSet &Change);

  const ChangeSet &change() const { return Change_; }
  const std::optional<CommitOutcome> &outcome() const { return Outcome_; }

  /// True while a transaction that was sent may still take effect.
  bool isOutcomeUnknown() const { return Sent_ && !Outcome_; }

private:
  enum class Step { ReadHead, Transact, ReadBack, ConfirmLost };

  void onHead(const TableReply &Reply);
  void onTransact(const TableReply &Reply);
  void onReadBack(const TableReply &Reply);
  void onConfirmLost(const TableReply &Reply);
  bool settleFrom(const TableRow &Operation);
  TableTransaction transaction() const;

  ChangeSet Change_;
  std::string Digest_;
  Step Step_ = Step::ReadHead;
  RowVersion HeadVersion_ = 0;
  Revision HeadRevision_ = 0;
  bool Sent_ = false;
  std::optional<CommitOutcome> Outcome_;
};

} // namespace ebony::config

#endif
