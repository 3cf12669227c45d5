#ifndef EBONY_CONFIG_TABLEREPLY_H
#define EBONY_CONFIG_TABLEREPLY_H

#include "config/tablerow.h"

#include <vector>

namespace ebony::config {

/// Outcome of a request to the table service, as far as the client knows it.
enum class TableOutcome {
  /// A read was answered, or a transaction was committed.
  Done,
  /// A condition did not hold; nothing was written.
  Conflict,
  /// The service refused the request or was unreachable; nothing was written.
  Unavailable,
  /// No reply arrived; a transaction may have taken effect or may still do so.
  Unknown,
};

/// Reply of the table service to one transaction, row read or scan.
struct TableReply {
  TableOutcome Outcome_ = TableOutcome::Unknown;
  /// Rows read; a row read that finds nothing gives one row with version 0.
  /// On a conflict, the rows that failed their conditions, without values.
  std::vector<TableRow> Rows_;
  /// Version of the rows that a committed transaction wrote.
  RowVersion CommittedVersion_ = 0;

  friend bool operator==(const TableReply &, const TableReply &) = default;
};

} // namespace ebony::config

#endif
