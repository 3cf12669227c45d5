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

/// What a read of rows gave; the rows count only when the status is Done.
struct RowsResult {
  StoreStatus Status_ = StoreStatus::NoAnswer;
  Rows Rows_;
};

/// The transactional table service as one VM uses it. One object serves one
/// call at a time.
class RowStore {
public:
  virtual ~RowStore() = default;

  /// All rows of \p Table as of one moment; later pages may be of a later one.
  virtual boost::asio::awaitable<RowsResult> readAll(std::string Table) = 0;

  /// Changes of \p Table after version \p After, as soon as there is one, or
  /// none after \p Wait.
  virtual boost::asio::awaitable<RowsResult>
  readChanges(std::string Table, std::int64_t After, base::Duration Wait) = 0;

  /// Writes one row. With \p Expected, only if the row has that version; 0
  /// means that it does not exist.
  virtual boost::asio::awaitable<StoreStatus>
  write(std::string Table, std::string Key, std::string Value,
        std::optional<std::int64_t> Expected) = 0;
};

} // namespace ebony::store

#endif
