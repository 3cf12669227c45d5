#ifndef EBONY_TRUST_PROMISETABLE_H
#define EBONY_TRUST_PROMISETABLE_H

#include "config/freshnessevidence.h"
#include "trust/writerpromise.h"
#include "trust/writerroster.h"

#include <map>
#include <optional>
#include <vector>

namespace ebony::trust {

/// Newest known promise of each possible writer, received from the writer
/// itself or through peers.
class PromiseTable {
public:
  /// Stores \p Promise if it is newer than the stored one of its writer.
  void recordPromise(const WriterPromise &Promise);

  /// Erases the promises of VMs that are not members of \p Roster.
  void eraseNonMembers(const WriterRoster &Roster);

  /// Returns all stored promises, for sending to peers.
  std::vector<WriterPromise> promises() const;

  /// Combines the newest promises of all members of \p Roster except
  /// WriterRoster::maxMissingPromises(). Returns std::nullopt while more are
  /// missing.
  std::optional<config::FreshnessEvidence>
  evidence(const WriterRoster &Roster) const;

private:
  std::map<base::VmIdentity, WriterPromise> Promises_;
};

} // namespace ebony::trust

#endif
