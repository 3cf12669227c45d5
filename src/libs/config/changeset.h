#ifndef EBONY_CONFIG_CHANGESET_H
#define EBONY_CONFIG_CHANGESET_H

#include "config/recordchange.h"
#include "config/revision.h"

#include <vector>

namespace ebony::config {

/// Record changes that one commit applies atomically.
struct ChangeSet {
  Revision Revision_ = 0;
  OperationId Operation_;
  std::vector<RecordChange> Changes_;

  friend bool operator==(const ChangeSet &, const ChangeSet &) = default;
};

} // namespace ebony::config

#endif
