#ifndef EBONY_CONFIG_STOREREQUEST_H
#define EBONY_CONFIG_STOREREQUEST_H

#include "config/tabletransaction.h"

namespace ebony::config {

/// Platform call that a StoreRequest describes.
enum class StoreCall { Transact, Row, Scan, PutObject, GetObject };

/// Description of one request to the table service or the object store.
struct StoreRequest {
  StoreCall Call_ = StoreCall::Row;
  TableTransaction Transaction_;
  /// Row key, key prefix of a scan, or object name.
  std::string Key_;
  /// Scans begin after this key.
  std::string After_;
  std::size_t Limit_ = 0;
  /// Bytes of an object to put.
  std::string Bytes_;

  static StoreRequest transact(TableTransaction Transaction);
  static StoreRequest row(std::string Key);
  static StoreRequest scan(std::string Prefix, std::string After,
                           std::size_t Limit);
  static StoreRequest putObject(std::string Name, std::string Bytes);
  static StoreRequest getObject(std::string Name);

  friend bool operator==(const StoreRequest &, const StoreRequest &) = default;
};

} // namespace ebony::config

#endif
