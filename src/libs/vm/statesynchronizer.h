#ifndef EBONY_VM_STATESYNCHRONIZER_H
#define EBONY_VM_STATESYNCHRONIZER_H

#include "vm/tablefollower.h"

#include <memory>

namespace ebony::vm {

/// Keeps the VM's copy of the configuration, the evacuated zones and the
/// upstreams in sync with the store.
class StateSynchronizer {
public:
  explicit StateSynchronizer(VmState &State);

  /// Starts following the tables; runs until the process ends.
  void start();

private:
  void replaceOperatorRows(const std::vector<store::Row> &Rows);
  void applyOperatorRows(const std::vector<store::Row> &Rows);
  void applyConfiguration(const store::Row &Row);
  /// Passes on the evacuated zones with the position as of which they hold.
  void publishEvacuations();
  void replaceUpstreams(const std::vector<store::Row> &Rows);
  void applyUpstreamRows(const std::vector<store::Row> &Rows);
  void applyUpstream(const store::Row &Row);
  /// Logs an entry that changes nothing for now.
  void logPassedOver(const char *Event, const traffic::UpstreamEntry &Entry,
                     const store::Row &Row);
  /// Removes the upstream whose entry cannot be decoded.
  void removeMalformed(const store::Row &Row);
  /// Returns for how long an upstream is at least taken for cold if it was not
  /// listed before \p Entry.
  base::Duration minColdTime(const traffic::UpstreamEntry &Entry) const;

  VmState &State_;
  TableFollower OperatorFollower_;
  TableFollower UpstreamFollower_;
  std::set<base::ZoneName> EvacuatedZones_;
  /// Rows of the upstreams' table that cannot be decoded.
  std::set<std::string> MalformedEntries_;
};

} // namespace ebony::vm

#endif
