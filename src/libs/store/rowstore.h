#ifndef EBONY_STORE_ROWSTORE_H
#define EBONY_STORE_ROWSTORE_H

#include "base/time.h"
#include "store/row.h"
#include "store/storestatus.h"

// Boost 1.74's awaitable.hpp needs std::exchange and does not include it.
#include <utility>

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace ebony::store {

/// Result of a read; the rows are valid only if the status is Done.
struct RowsResult {
  StoreStatus Status_ = StoreStatus::NoAnswer;
  Rows Rows_;
  /// What is wrong with an answer that cannot be read; empty if none came or
  /// it can be read.
  std::string Problem_;
};

/// Interface to the transactional table service. Only one call per object may
/// be in progress at a time.
class RowStore {
public:
  virtual ~RowStore() = default;

  /// Returns all rows of \p Table as of one version of the store; later pages
  /// may reflect a later version.
  virtual boost::asio::awaitable<RowsResult> readAll(std::string Table) = 0;

  /// Returns the changes of \p Table after position \p After as soon as there
  /// is one, or no changes once \p Wait has passed. The history of an earlier
  /// era is gone.
  virtual boost::asio::awaitable<RowsResult>
  readChanges(std::string Table, std::int64_t After, base::Duration Wait) = 0;

  /// Writes one row. If \p Expected is set, writes only if the row has that
  /// position; 0 means that the row must not exist.
  virtual boost::asio::awaitable<StoreStatus>
  write(std::string Table, std::string Key, std::string Value,
        std::optional<std::int64_t> Expected) = 0;
};

} // namespace ebony::store

#endif
