#ifndef EBONY_FLEET_FLEETSTATE_H
#define EBONY_FLEET_FLEETSTATE_H

#include "config/configobserver.h"
#include "config/configreplica.h"
#include "fleet/memberlist.h"
#include "records/configuration.h"
#include "trust/freshnesstracker.h"
#include "trust/keytable.h"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace ebony::fleet {

/// What one process knows of the fleet: the configuration in force, the keys,
/// how fresh both are, and the entry VMs. Safe from any thread.
class FleetState final : private config::ConfigObserver {
public:
  FleetState(trust::FreshnessSettings Freshness, std::size_t LoggedChanges);

  /// Applies \p Changes in order; those that do not follow the revision in
  /// force are ignored.
  void apply(const std::vector<config::ChangeSet> &Changes);

  /// Takes \p Records when they are newer.
  void install(const config::RecordSet &Records);

  /// The replica, for objects that keep a reference to it. They use it only
  /// within withReplica().
  config::ConfigReplica &replica() { return Replica_; }

  /// Calls \p Use with the replica under the state's lock.
  template <typename Function> auto withReplica(Function &&Use) {
    const std::lock_guard Guard(ReplicaLock_);
    auto Result = Use(Replica_);
    Freshness_.recordApplied(Replica_.revision());
    return Result;
  }

  void setMembers(MemberList Members);

  std::shared_ptr<const records::Configuration> configuration() const;
  std::shared_ptr<const MemberList> members() const;
  config::Revision revision() const;

  const trust::KeyTable &keys() const { return Keys_; }
  trust::FreshnessTracker &freshness() { return Freshness_; }
  const trust::FreshnessTracker &freshness() const { return Freshness_; }

  /// Whether a configuration was ever known to be current.
  bool isReady() const { return Freshness_.asOf().has_value(); }

private:
  void onChange(const config::ChangeSet &Change,
                const config::RecordSet &Records) override;
  void onSnapshot(const config::RecordSet &Records) override;
  void publish(const records::Configuration &Next);

  trust::FreshnessTracker Freshness_;
  trust::KeyTable Keys_;

  std::mutex ReplicaLock_;
  config::ConfigReplica Replica_;

  mutable std::mutex PublishedLock_;
  std::shared_ptr<const records::Configuration> Configuration_;
  std::shared_ptr<const MemberList> Members_;
};

} // namespace ebony::fleet

#endif
