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

/// Asks a peer for what the sender lacks.
struct PullRequest {
  base::VmIdentity From_;
  config::Revision Applied_ = 0;
  /// Set while the sender doesn't reach the table service.
  bool WantsPromises_ = false;

  friend bool operator==(const PullRequest &, const PullRequest &) = default;
};

/// Answer to a PullRequest.
struct PullReply {
  base::VmIdentity From_;
  config::Revision Applied_ = 0;
  /// False while the sender itself is still starting.
  bool Ready_ = false;
  /// Changes that follow the revision of the request.
  std::vector<config::ChangeSet> Changes_;
  /// The log no longer reaches back that far; fetch snapshot pages.
  bool NeedsSnapshot_ = false;
  std::optional<AgedEvidence> Evidence_;
  std::vector<AgedPromise> Promises_;
  /// Members of the sender's zone that it has heard from lately.
  std::vector<MemberProgress> Progress_;

  friend bool operator==(const PullReply &, const PullReply &) = default;
};

/// Tells a possible writer of a commit before it is sent.
struct IntentRequest {
  base::VmIdentity From_;
  config::Revision Base_ = 0;

  friend bool operator==(const IntentRequest &,
                         const IntentRequest &) = default;
};

/// Answer to an IntentRequest.
struct IntentReply {
  base::VmIdentity From_;

  friend bool operator==(const IntentReply &, const IntentReply &) = default;
};

/// Asks for a part of all records.
struct SnapshotPageRequest {
  /// Revision of the earlier pages; 0 for the first page.
  config::Revision At_ = 0;
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

/// Part of all records at one revision.
struct SnapshotPage {
  /// 0 when the snapshot asked for is gone: begin again with the first page.
  config::Revision At_ = 0;
  std::vector<SnapshotRecord> Records_;
  std::size_t NextBucket_ = 0;
  bool Last_ = false;

  friend bool operator==(const SnapshotPage &, const SnapshotPage &) = default;
};

} // namespace ebony::configagent

#endif
