#include "trust/promisetable.h"

#include <algorithm>

namespace ebony::trust {

namespace {

bool isNewer(const WriterPromise &Left, const WriterPromise &Right) {
  return Left.AsOf_ > Right.AsOf_;
}

} // namespace

void PromiseTable::recordPromise(const WriterPromise &Promise) {
  const auto [Place, Added] = Promises_.emplace(Promise.Writer_, Promise);
  if (!Added && isNewer(Promise, Place->second))
    Place->second = Promise;
}

void PromiseTable::eraseNonMembers(const WriterRoster &Roster) {
  for (auto Place = Promises_.begin(); Place != Promises_.end();)
    Place = Roster.contains(Place->first) ? std::next(Place)
                                          : Promises_.erase(Place);
}

std::vector<WriterPromise> PromiseTable::promises() const {
  std::vector<WriterPromise> All;
  All.reserve(Promises_.size());
  for (const auto &[Writer, Promise] : Promises_)
    All.push_back(Promise);
  return All;
}

std::optional<config::FreshnessEvidence>
PromiseTable::evidence(const WriterRoster &Roster) const {
  std::vector<WriterPromise> Available;
  for (const base::VmIdentity &Member : Roster.members()) {
    const auto Place = Promises_.find(Member);
    if (Place != Promises_.end())
      Available.push_back(Place->second);
  }
  const std::size_t Needed =
      Roster.members().size() - Roster.maxMissingPromises();
  if (Needed == 0 || Available.size() < Needed)
    return std::nullopt;
  std::sort(Available.begin(), Available.end(), isNewer);
  Available.resize(Needed);
  config::FreshnessEvidence Combined{0, Available.back().AsOf_};
  for (const WriterPromise &Promise : Available)
    Combined.Revision_ = std::max(Combined.Revision_, Promise.Revision_);
  return Combined;
}

} // namespace ebony::trust
