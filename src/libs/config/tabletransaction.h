#ifndef EBONY_CONFIG_TABLETRANSACTION_H
#define EBONY_CONFIG_TABLETRANSACTION_H

#include "config/tablerow.h"

#include <vector>

namespace ebony::config {

/// Requires a row to be at a version; 0 requires that it does not exist.
struct RowCondition {
  std::string Key_;
  RowVersion Version_ = 0;

  friend bool operator==(const RowCondition &, const RowCondition &) = default;
};

/// Value to write into a row.
struct RowPut {
  std::string Key_;
  std::string Value_;

  friend bool operator==(const RowPut &, const RowPut &) = default;
};

/// Atomic writes, applied only if every condition holds.
struct TableTransaction {
  std::vector<RowCondition> Conditions_;
  std::vector<RowPut> Puts_;
  std::vector<std::string> Deletes_;

  friend bool operator==(const TableTransaction &,
                         const TableTransaction &) = default;
};

} // namespace ebony::config

#endif
