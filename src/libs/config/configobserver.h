#ifndef EBONY_CONFIG_CONFIGOBSERVER_H
#define EBONY_CONFIG_CONFIGOBSERVER_H

#include "config/recordset.h"

namespace ebony::config {

/// Receives applied configuration changes, to update tables derived from them.
/// The calls return before the new revision is published as applied.
class ConfigObserver {
public:
  virtual ~ConfigObserver() = default;

  /// Called after \p Change was applied; \p Records is the result.
  virtual void onChange(const ChangeSet &Change, const RecordSet &Records) = 0;

  /// Called after \p Records replaced the whole configuration.
  virtual void onSnapshot(const RecordSet &Records) = 0;
};

} // namespace ebony::config

#endif
