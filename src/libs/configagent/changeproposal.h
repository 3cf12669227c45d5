#ifndef EBONY_CONFIGAGENT_CHANGEPROPOSAL_H
#define EBONY_CONFIGAGENT_CHANGEPROPOSAL_H

#include "config/changecommitter.h"
#include "configagent/pullmessages.h"
#include "trust/writerroster.h"

#include <set>

namespace ebony::configagent {

/// Change proposed by this VM. Enough members of the writer roster are notified
/// of it before it is committed.
class ChangeProposal {
public:
  ChangeProposal(config::ChangeSet Change, trust::WriterRoster Roster,
                 base::VmIdentity Self);

  /// Returns the revision that the change is based on.
  config::Revision base() const;

  /// Returns the members not yet notified; empty once enough are.
  std::vector<base::VmIdentity> membersToNotify() const;

  /// Records the reply of the VM at the address of \p Member. If another
  /// incarnation has the address, the member no longer exists and makes no more
  /// promises, so it counts as notified.
  void recordReply(const base::VmIdentity &Member, const IntentReply &Reply);

  bool isAnnounced() const {
    return Notified_.size() >= Roster_.requiredNotifications(Self_);
  }

  config::ChangeCommitter &committer() { return Committer_; }
  const config::ChangeCommitter &committer() const { return Committer_; }

private:
  trust::WriterRoster Roster_;
  base::VmIdentity Self_;
  std::set<base::VmIdentity> Notified_;
  config::ChangeCommitter Committer_;
};

} // namespace ebony::configagent

#endif
