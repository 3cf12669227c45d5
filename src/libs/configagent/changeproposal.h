#ifndef EBONY_CONFIGAGENT_CHANGEPROPOSAL_H
#define EBONY_CONFIGAGENT_CHANGEPROPOSAL_H

#include "config/changecommitter.h"
#include "configagent/pullmessages.h"
#include "trust/writerroster.h"

#include <set>

namespace ebony::configagent {

/// One change on its way into force: first enough members of the roster are
/// told of it, then it is committed.
class ChangeProposal {
public:
  ChangeProposal(config::ChangeSet Change, trust::WriterRoster Roster,
                 base::VmIdentity Self);

  config::Revision base() const;

  /// Members to tell; empty once enough have been told.
  std::vector<base::VmIdentity> toTell() const;

  /// Takes the answer of the VM at the address of \p Member. A member whose
  /// address another incarnation holds is gone: it promises nothing any more
  /// and counts as told.
  void take(const base::VmIdentity &Member, const IntentReply &Reply);

  bool isTold() const {
    return Told_.size() >= Roster_.requiredNotifications(Self_);
  }

  config::ChangeCommitter &committer() { return Committer_; }
  const config::ChangeCommitter &committer() const { return Committer_; }

private:
  trust::WriterRoster Roster_;
  base::VmIdentity Self_;
  std::set<base::VmIdentity> Told_;
  config::ChangeCommitter Committer_;
};

} // namespace ebony::configagent

#endif
