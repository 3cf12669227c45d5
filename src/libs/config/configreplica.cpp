#include "config/configreplica.h"

#include <algorithm>

namespace ebony::config {

ConfigReplica::ConfigReplica(std::size_t LoggedChanges,
                             ConfigObserver &Observer)
    : LoggedChanges_(LoggedChanges), Observer_(Observer) {}

bool ConfigReplica::apply(const ChangeSet &Change) {
  auto Next = Records_.apply(Change);
  if (!Next)
    return false;
  Records_ = std::move(Next).value();
  Log_.push_back(Change);
  if (Log_.size() > LoggedChanges_)
    Log_.pop_front();
  Observer_.onChange(Change, Records_);
  return true;
}

bool ConfigReplica::install(const RecordSet &Records) {
  if (Records.revision() <= revision())
    return false;
  Records_ = Records;
  Log_.clear();
  Observer_.onSnapshot(Records_);
  return true;
}

std::optional<std::vector<ChangeSet>>
ConfigReplica::changesAfter(Revision After, std::size_t Limit) const {
  if (After >= revision())
    return std::vector<ChangeSet>();
  const Revision Missing = revision() - After;
  if (Missing > static_cast<Revision>(Log_.size()))
    return std::nullopt;
  const auto Begin = Log_.end() - Missing;
  const auto Count = std::min<Revision>(Missing, static_cast<Revision>(Limit));
  return std::vector<ChangeSet>(Begin, Begin + Count);
}

} // namespace ebony::config
