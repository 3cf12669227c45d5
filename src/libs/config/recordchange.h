#ifndef EBONY_CONFIG_RECORDCHANGE_H
#define EBONY_CONFIG_RECORDCHANGE_H

#include "config/recordid.h"

#include <optional>

namespace ebony::config {

/// New text of one record, or its deletion.
struct RecordChange {
  RecordId Id_;
  /// JSON text as submitted; std::nullopt for a deletion.
  std::optional<std::string> Text_;

  bool isDeletion() const { return !Text_.has_value(); }

  friend bool operator==(const RecordChange &, const RecordChange &) = default;
};

} // namespace ebony::config

#endif
