#ifndef EBONY_CONFIG_TABLESERVICE_H
#define EBONY_CONFIG_TABLESERVICE_H

#include "config/tablereply.h"
#include "config/tabletransaction.h"

namespace ebony::config {

/// The platform's transactional table service.
class TableService {
public:
  virtual ~TableService() = default;

  virtual TableReply transact(const TableTransaction &Transaction) = 0;

  /// Reads one row.
  virtual TableReply row(const std::string &Key) = 0;

  /// Reads at most \p Limit rows whose keys begin with \p Prefix and come
  /// after \p After, sorted by key.
  virtual TableReply scan(const std::string &Prefix, const std::string &After,
                          std::size_t Limit) = 0;
};

} // namespace ebony::config

#endif
