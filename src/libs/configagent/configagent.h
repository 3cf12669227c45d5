#ifndef EBONY_CONFIGAGENT_CONFIGAGENT_H
#define EBONY_CONFIGAGENT_CONFIGAGENT_H

#include "config/changefollower.h"
#include "configagent/changeproposal.h"
#include "configagent/snapshotpager.h"
#include "configagent/zoneprogress.h"
#include "trust/commitintents.h"
#include "trust/freshnesstracker.h"
#include "trust/promisetable.h"

namespace ebony::configagent {

/// Settings of a ConfigAgent.
struct AgentSettings {
  config::FollowerSettings Follower_;
  /// Changes kept for peers that are behind.
  std::size_t LoggedChanges_ = 1024;
  /// Changes in one answer to a peer.
  std::size_t ChangesPerPull_ = 128;
  /// Without word from the table service for this long, promises are asked
  /// for.
  base::Duration TablePatience_ = std::chrono::seconds(1);

  friend bool operator==(const AgentSettings &,
                         const AgentSettings &) = default;
};

/// Keeps one process's configuration current and its freshness known, from
/// the table service, from peers and from promises; commits changes. Not safe
/// to use from several threads; the tracker that it is given is.
class ConfigAgent final : private config::ConfigObserver {
public:
  ConfigAgent(base::VmIdentity Self, AgentSettings Settings,
              trust::FreshnessTracker &Freshness,
              config::ConfigObserver &Observer);

  const config::RecordSet &records() const { return Replica_.records(); }
  const trust::WriterRoster &roster() const { return Roster_; }
  const base::VmIdentity &self() const { return Self_; }
  const config::ChangeFollower &follower() const { return Follower_; }

  /// True once the newest revision that the table service, or without it the
  /// peers, can show is applied; nothing is served before.
  bool isReady() const { return Ready_; }

  /// Request to the platform to perform now, if any is due.
  std::optional<config::StoreRequest> storeRequest(base::TimePoint Now);
  void takeStoreReply(const config::TableReply &Reply);

  /// True while peers of other zones have to be asked too.
  bool isWithoutTable(base::TimePoint Now) const;

  PullRequest pullRequest(base::TimePoint Now) const;
  PullReply answer(const PullRequest &Request, base::TimePoint Now);
  /// Takes a peer's answer to a request sent at \p AskedAt.
  void take(const PullReply &Reply, base::TimePoint AskedAt);
  /// Says that every peer has been asked once since the start.
  void endPullRound();

  SnapshotPage answer(const SnapshotPageRequest &Request, base::TimePoint Now);
  /// True when a peer's answer asked for fetching its snapshot pages.
  bool needsSnapshot() const { return NeedsSnapshot_; }
  void install(const config::RecordSet &Records);

  /// Begins to commit \p Changes on top of the applied revision.
  base::Checked<config::Revision>
  propose(const config::OperationId &Operation,
          std::vector<config::RecordChange> Changes, base::TimePoint Now);
  ChangeProposal *proposal() { return Proposal_ ? &*Proposal_ : nullptr; }
  /// Forgets a proposal that has its outcome, or was told to nobody.
  void endProposal() { Proposal_.reset(); }

  /// Takes note of another writer's intent.
  IntentReply answer(const IntentRequest &Request, base::TimePoint Now);

  /// Change that makes this VM a member of the roster, when its zone has fewer
  /// than \p PerZone members or an earlier incarnation of it is one.
  std::optional<config::RecordChange> joinChange(std::size_t PerZone) const;

private:
  void onChange(const config::ChangeSet &Change,
                const config::RecordSet &Records) override;
  void onSnapshot(const config::RecordSet &Records) override;
  void afterApply();
  void takeCommitReply(const config::TableReply &Reply);
  void noteOwnPromise(base::TimePoint Now);
  void joinPromises();

  base::VmIdentity Self_;
  AgentSettings Settings_;
  trust::FreshnessTracker &Freshness_;
  config::ConfigObserver &Observer_;
  config::ConfigReplica Replica_;
  config::ChangeFollower Follower_;
  trust::WriterRoster Roster_;
  trust::CommitIntents Intents_;
  trust::PromiseTable Ledger_;
  SnapshotPager Pager_;
  ZoneProgress Progress_;
  std::optional<ChangeProposal> Proposal_;
  std::optional<base::TimePoint> TableHeard_;
  bool Committing_ = false;
  bool NeedsSnapshot_ = false;
  bool TableFailed_ = false;
  bool PeerReady_ = false;
  config::Revision PeerHighest_ = 0;
  bool Ready_ = false;
};

} // namespace ebony::configagent

#endif
