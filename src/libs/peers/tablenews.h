#ifndef EBONY_PEERS_TABLENEWS_H
#define EBONY_PEERS_TABLENEWS_H

#include "store/row.h"
#include "traffic/storereaders.h"

#include <optional>
#include <string>
#include <vector>

namespace ebony::peers {

/// Changes of one of the store's tables, sent by a VM that read them from the
/// store.
struct TableNews {
  std::string Table_;
  /// Version of the store that the changes are based on.
  std::int64_t After_ = 0;
  store::Rows Changes_;
  /// Whether the sender knows of no further changes.
  bool IsComplete_ = true;
  traffic::FreshnessClaim Proof_;
  /// Time since the store became available again after an outage; std::nullopt
  /// if that was long ago.
  std::optional<base::Duration> SinceReturn_;

  friend bool operator==(const TableNews &, const TableNews &) = default;
};

/// Splits \p News into consecutive parts of about \p TargetBytes of rows each,
/// without splitting the rows of one transaction. A part of more than \p
/// MaxBytes is left out; the gap tells the receivers to read from the store.
std::vector<TableNews> splitTableNews(const TableNews &News,
                                      std::size_t TargetBytes,
                                      std::size_t MaxBytes);

} // namespace ebony::peers

#endif
