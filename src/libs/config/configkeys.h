#ifndef EBONY_CONFIG_CONFIGKEYS_H
#define EBONY_CONFIG_CONFIGKEYS_H

#include "config/revision.h"

#include <string>

namespace ebony::config {

/// Keys of the rows and names of the objects that hold the configuration.
class ConfigKeys {
public:
  /// Row of the newest revision.
  static std::string head() { return "config/head"; }

  /// Prefix of the change rows.
  static std::string changes() { return "config/change/"; }

  /// Row of one change; keys sort by revision.
  static std::string change(Revision Number);

  /// Row with the revision at which an operation was committed.
  static std::string operation(const OperationId &Operation);

  /// Row that names the newest snapshot object.
  static std::string snapshot() { return "config/snapshot"; }

  /// Name of the snapshot object at a revision.
  static std::string snapshotObject(Revision Number);
};

} // namespace ebony::config

#endif
