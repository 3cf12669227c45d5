#ifndef EBONY_TESTS_CONFIGAGENT_FLEET_H
#define EBONY_TESTS_CONFIGAGENT_FLEET_H

#include "base/randomengine.h"
#include "config/storeclient.h"
#include "configagent/configagent.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace ebony::configagent::test {

using base::Duration;
using base::TimePoint;

/// Table service and object store in memory.
class FakePlatform final : public config::TableService,
                           public config::ObjectStore {
public:
  config::TableReply
  transact(const config::TableTransaction &Transaction) override;
  config::TableReply row(const std::string &Key) override;
  config::TableReply scan(const std::string &Prefix, const std::string &After,
                          std::size_t Limit) override;
  bool put(const std::string &Name, const std::string &Bytes) override;
  std::optional<std::string> get(const std::string &Name) override;

  std::map<std::string, config::TableRow> Rows_;
  std::map<std::string, std::string> Objects_;
  config::RowVersion Version_ = 0;
  /// Called with each row that a transaction writes.
  std::function<void(const config::RowPut &)> OnPut_;
};

/// Set of the keys that are valid at one VM.
class KeyNames final : public config::ConfigObserver {
public:
  void onChange(const config::ChangeSet &Change,
                const config::RecordSet &Records) override;
  void onSnapshot(const config::RecordSet &Records) override;

  std::set<std::string> Names_;
  /// Highest revision applied; applying a lower one later is an error.
  config::Revision HighestRevision_ = 0;
  bool RevisionDecreased_ = false;
};

/// The agent and its state on one VM; a restart creates new ones.
struct Node {
  base::VmIdentity Id_;
  std::size_t Zone_ = 0;
  std::unique_ptr<trust::FreshnessTracker> Freshness_;
  std::unique_ptr<KeyNames> Keys_;
  std::unique_ptr<ConfigAgent> Agent_;
  bool Alive_ = true;
  TimePoint PausedUntil_;
  /// Epoch of the process and id of its store request; replies that carry an
  /// older number are dropped.
  std::uint64_t Epoch_ = 0;
  std::uint64_t StoreCallId_ = 0;
  bool PullRoundDone_ = false;
};

/// Simulates a fleet of agents in virtual time, with network delay, message
/// loss, partitions and platform outages.
class Fleet {
public:
  Fleet(std::uint64_t Seed, std::size_t Zones, std::size_t PerZone);

  TimePoint now() const { return Now_; }
  base::RandomEngine &random() { return Random_; }
  FakePlatform &platform() { return Platform_; }
  std::size_t size() const { return Nodes_.size(); }
  Node &node(std::size_t Index) { return *Nodes_[Index]; }

  /// Advances the virtual time by \p Time; calls \p OnTick every 50 ms.
  void run(Duration Time, const std::function<void()> &OnTick = {});

  /// Stops the process at \p Index and starts a new incarnation after \p Gap.
  void restart(std::size_t Index, Duration Gap);
  void crash(std::size_t Index);
  void pause(std::size_t Index, Duration Time);

  /// Proposes at \p Index; outcomes are reported through OnOutcome_.
  bool propose(std::size_t Index, const std::string &Operation,
               std::vector<config::RecordChange> Changes);

  /// Returns true if the VM at \p Index accepts requests with \p Key now.
  bool accepts(std::size_t Index, const std::string &Key) const;

  bool TableDown_ = false;
  std::set<std::size_t> ZonesWithoutTable_;
  std::set<std::size_t> ZonesCutOff_;
  double LossProbability_ = 0;
  /// Probability that a store request arrives after its timeout of 1 s.
  double LateProbability_ = 0;
  std::function<void(std::size_t, const std::string &,
                     const config::CommitOutcome &)>
      OnOutcome_;

private:
  void schedule(Duration Time, std::function<void()> Action);
  void start(std::size_t Index);
  void storeLoop(std::size_t Index, std::uint64_t Epoch);
  void sendStoreRequest(std::size_t Index, std::uint64_t Epoch,
                        const config::StoreRequest &Request);
  void finishStoreRequest(std::size_t Index, std::uint64_t Epoch,
                          std::uint64_t CallId,
                          const config::TableReply &Reply);
  void pullLoop(std::size_t Index, std::uint64_t Epoch);
  void pull(std::size_t Index, std::size_t Peer);
  void intentLoop(std::size_t Index, std::uint64_t Epoch);
  void fetchSnapshot(Node &Target, Node &Peer);
  bool isCurrent(std::size_t Index, std::uint64_t Epoch) const;
  bool isRunning(std::size_t Index) const;
  bool canReach(std::size_t From, std::size_t To) const;
  bool canReachTable(std::size_t Index) const;
  Duration delay();

  base::RandomEngine Random_;
  std::size_t PerZone_;
  TimePoint Now_;
  FakePlatform Platform_;
  std::vector<std::unique_ptr<Node>> Nodes_;
  std::multimap<TimePoint, std::function<void()>> Events_;
};

} // namespace ebony::configagent::test

#endif
