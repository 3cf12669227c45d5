#ifndef EBONY_PEERS_TABLENEWS_H
#define EBONY_PEERS_TABLENEWS_H

#include "store/row.h"
#include "traffic/storereaders.h"

#include <optional>
#include <string>
#include <vector>

namespace ebony::peers {

/// Changes of one of the store's tables, from a VM that read them there.
struct TableNews {
  std::string Table_;
  /// Version of the store that the changes follow.
  std::int64_t After_ = 0;
  store::Rows Changes_;
  /// Whether the sender knows of no more changes.
  bool IsComplete_ = true;
  traffic::ProofClaim Proof_;
  /// Time since the store came back; nothing when that was long ago.
  std::optional<base::Duration> SinceReturn_;

  friend bool operator==(const TableNews &, const TableNews &) = default;
};

/// Splits news into parts of about \p MostBytes of rows that follow one on the
/// other; one transaction stays whole. A part beyond \p LargestBytes is left
/// out, which shows its receivers that they have to ask the store.
std::vector<TableNews> splitTableNews(const TableNews &Whole,
                                      std::size_t MostBytes,
                                      std::size_t LargestBytes);

} // namespace ebony::peers

#endif
