#include "configagent/changeproposal.h"

namespace ebony::configagent {

ChangeProposal::ChangeProposal(config::ChangeSet Change,
                               trust::WriterRoster Roster,
                               base::VmIdentity Self)
    : Roster_(std::move(Roster)), Self_(std::move(Self)),
      Committer_(std::move(Change)) {}

config::Revision ChangeProposal::base() const {
  return Committer_.change().Revision_ - 1;
}

std::vector<base::VmIdentity> ChangeProposal::membersToNotify() const {
  std::vector<base::VmIdentity> Unnotified;
  if (isAnnounced())
    return Unnotified;
  for (const base::VmIdentity &Member : Roster_.members())
    if (Member != Self_ && Notified_.count(Member) == 0)
      Unnotified.push_back(Member);
  return Unnotified;
}

void ChangeProposal::recordReply(const base::VmIdentity &Member,
                                 const IntentReply &Reply) {
  const bool Answered = Reply.Sender_.address() == Member.address();
  if (Member != Self_ && Roster_.contains(Member) && Answered)
    Notified_.insert(Member);
}

} // namespace ebony::configagent
