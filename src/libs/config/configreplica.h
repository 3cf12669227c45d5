#ifndef EBONY_CONFIG_CONFIGREPLICA_H
#define EBONY_CONFIG_CONFIGREPLICA_H

#include "config/configobserver.h"
#include "config/recordset.h"

#include <deque>
#include <optional>

namespace ebony::config {

/// Configuration of one process. Its revision never decreases.
class ConfigReplica {
public:
  /// Keeps the last \p LoggedChanges changes for peers and notifies
  /// \p Observer of every applied change and snapshot.
  ConfigReplica(std::size_t LoggedChanges, ConfigObserver &Observer);

  const RecordSet &records() const { return Records_; }
  Revision revision() const { return Records_.revision(); }

  /// Applies \p Change if it has the next revision; returns false otherwise.
  bool apply(const ChangeSet &Change);

  /// Replaces the records by \p Records if those are newer; returns false
  /// otherwise.
  bool install(const RecordSet &Records);

  /// Returns at most \p Limit changes that follow revision \p After, or
  /// std::nullopt if the log no longer holds all of them.
  std::optional<std::vector<ChangeSet>> changesAfter(Revision After,
                                                     std::size_t Limit) const;

private:
  std::size_t LoggedChanges_;
  ConfigObserver &Observer_;
  RecordSet Records_;
  std::deque<ChangeSet> Log_;
};

} // namespace ebony::config

#endif
