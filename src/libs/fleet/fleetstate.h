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

/// State of the fleet as one process knows it: the applied configuration, the
/// keys, the freshness of both, and the entry VMs. Thread-safe.
class FleetState final : private config::ConfigObserver {
public:
  FleetState(trust::FreshnessSettings Freshness, std::size_t LoggedChanges);

  /// Applies \p Changes in order. Ignores those that do not follow the applied
  /// revision.
  void apply(const std::vector<config::ChangeSet> &Changes);

  /// Replaces all records by \p Records when these are newer.
  void install(const config::RecordSet &Records);

  /// Returns the replica, for objects that keep a reference to it. They may use
  /// it only within withReplica().
  config::ConfigReplica &replica() { return Replica_; }

  /// Calls \p Operation with the replica while holding its lock, and returns
  /// the result.
  template <typename Function> auto withReplica(Function &&Operation) {
    const std::lock_guard Guard(ReplicaLock_);
    auto Result = Operation(Replica_);
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

  /// Returns true once a configuration was known to be current.
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
