#ifndef EBONY_CONFIGAGENT_PULLMESSAGES_H
#define EBONY_CONFIGAGENT_PULLMESSAGES_H

#include "config/changeset.h"
#include "configagent/agedpromise.h"

#include <optional>
#include <vector>

namespace ebony::configagent {

/// Revision that one process of a zone has applied.
struct MemberProgress {
  base::VmIdentity Member_;
  config::Revision Applied_ = 0;

  friend bool operator==(const MemberProgress &,
                         const MemberProgress &) = default;
};

/// Requests the changes and evidence that the sender lacks from a peer.
struct PullRequest {
  base::VmIdentity Sender_;
  config::Revision Applied_ = 0;
  /// Set while the sender cannot reach the table service.
  bool WantsPromises_ = false;

  friend bool operator==(const PullRequest &, const PullRequest &) = default;
};

/// Reply to a PullRequest.
struct PullReply {
  base::VmIdentity Sender_;
  config::Revision Applied_ = 0;
  /// False while the sender is still starting.
  bool Ready_ = false;
  /// Changes that follow the revision of the request.
  std::vector<config::ChangeSet> Changes_;
  /// The log no longer holds the requested changes; fetch snapshot pages.
  bool NeedsSnapshot_ = false;
  std::optional<AgedEvidence> Evidence_;
  std::vector<AgedPromise> Promises_;
  /// Members of the sender's zone that contacted it recently.
  std::vector<MemberProgress> Progress_;

  friend bool operator==(const PullReply &, const PullReply &) = default;
};

/// Notifies a potential writer of a commit before the commit is sent.
struct IntentRequest {
  base::VmIdentity Sender_;
  config::Revision BaseRevision_ = 0;

  friend bool operator==(const IntentRequest &,
                         const IntentRequest &) = default;
};

/// Reply to an IntentRequest.
struct IntentReply {
  base::VmIdentity Sender_;

  friend bool operator==(const IntentReply &, const IntentReply &) = default;
};

/// Requests one page of a snapshot.
struct SnapshotPageRequest {
  /// Revision of the earlier pages; 0 for the first page.
  config::Revision SnapshotRevision_ = 0;
  std::size_t Bucket_ = 0;

  friend bool operator==(const SnapshotPageRequest &,
                         const SnapshotPageRequest &) = default;
};

/// One record of a snapshot page.
struct SnapshotRecord {
  config::RecordId Id_;
  std::string Text_;
  config::Revision LastChangedRevision_ = 0;

  friend bool operator==(const SnapshotRecord &,
                         const SnapshotRecord &) = default;
};

/// Page of the records at one revision.
struct SnapshotPage {
  /// 0 if the requested snapshot is no longer available; restart with the first
  /// page.
  config::Revision SnapshotRevision_ = 0;
  std::vector<SnapshotRecord> Records_;
  std::size_t NextBucket_ = 0;
  bool Last_ = false;

  friend bool operator==(const SnapshotPage &, const SnapshotPage &) = default;
};

} // namespace ebony::configagent

#endif
