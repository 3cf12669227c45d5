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
  /// Number of changes kept for peers that are behind.
  std::size_t LoggedChanges_ = 1024;
  /// Maximum number of changes in one reply to a peer.
  std::size_t ChangesPerPull_ = 128;
  /// Promises are requested when the newest evidence from the table service is
  /// older than this.
  base::Duration TableTimeout_ = std::chrono::seconds(1);

  friend bool operator==(const AgentSettings &,
                         const AgentSettings &) = default;
};

/// Keeps the configuration of one process current and tracks its freshness,
/// using the table service, peers and writer promises; commits changes. Not
/// thread-safe, but the freshness tracker passed to it is.
class ConfigAgent final : private config::ConfigObserver {
public:
  ConfigAgent(base::VmIdentity Self, AgentSettings Settings,
              trust::FreshnessTracker &Freshness,
              config::ConfigObserver &Observer);

  const config::RecordSet &records() const { return Replica_.records(); }
  const trust::WriterRoster &roster() const { return Roster_; }
  const base::VmIdentity &self() const { return Self_; }
  const config::ChangeFollower &follower() const { return Follower_; }

  /// Returns true once the newest revision known to the table service, or to
  /// the peers if it is unreachable, is applied; nothing is served before.
  bool isReady() const { return Ready_; }

  /// Returns the platform request to perform now, or std::nullopt if none is
  /// due.
  std::optional<config::StoreRequest> nextStoreRequest(base::TimePoint Now);
  void handleStoreReply(const config::TableReply &Reply);

  /// Returns true while peers in other zones must be polled too.
  bool isTableUnreachable(base::TimePoint Now) const;

  PullRequest pullRequest(base::TimePoint Now) const;
  PullReply answer(const PullRequest &Request, base::TimePoint Now);
  /// Applies a peer's reply to a request sent at \p RequestSentAt.
  void applyPullReply(const PullReply &Reply, base::TimePoint RequestSentAt);
  /// Marks that every peer has been polled once since the start.
  void completePullRound();

  SnapshotPage answer(const SnapshotPageRequest &Request, base::TimePoint Now);
  /// Returns true if the last reply requires fetching the peer's snapshot
  /// pages.
  bool needsSnapshot() const { return NeedsSnapshot_; }
  void install(const config::RecordSet &Records);

  /// Starts committing \p Changes on top of the applied revision.
  base::Checked<config::Revision>
  propose(const config::OperationId &Operation,
          std::vector<config::RecordChange> Changes, base::TimePoint Now);
  ChangeProposal *proposal() { return Proposal_ ? &*Proposal_ : nullptr; }
  /// Discards a proposal that has an outcome or that no member was notified of.
  void endProposal() { Proposal_.reset(); }

  /// Records the intent of another writer.
  IntentReply answer(const IntentRequest &Request, base::TimePoint Now);

  /// Returns the change that adds this VM to the roster if its zone has fewer
  /// than \p PerZone members or an earlier incarnation is a member; otherwise
  /// std::nullopt.
  std::optional<config::RecordChange> joinChange(std::size_t PerZone) const;

private:
  void onChange(const config::ChangeSet &Change,
                const config::RecordSet &Records) override;
  void onSnapshot(const config::RecordSet &Records) override;
  void publishAppliedRevision();
  void handleCommitReply(const config::TableReply &Reply);
  void recordOwnPromise(base::TimePoint Now);
  void combinePromises();

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
  std::optional<base::TimePoint> LastTableEvidence_;
  bool Committing_ = false;
  bool NeedsSnapshot_ = false;
  bool TableFailed_ = false;
  bool PeerReady_ = false;
  config::Revision HighestPeerRevision_ = 0;
  bool Ready_ = false;
};

} // namespace ebony::configagent

#endif
