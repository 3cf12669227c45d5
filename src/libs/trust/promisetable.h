#ifndef EBONY_TRUST_PROMISETABLE_H
#define EBONY_TRUST_PROMISETABLE_H

#include "config/freshnessevidence.h"
#include "trust/writerpromise.h"
#include "trust/writerroster.h"

#include <map>
#include <optional>
#include <vector>

namespace ebony::trust {

/// Newest promise of each possible writer that this process has heard, from
/// the writer itself or through peers.
class PromiseTable {
public:
  /// Takes \p Promise when it is newer than the one held for its writer.
  void recordPromise(const WriterPromise &Promise);

  /// Drops the promises of VMs that are no members of \p Roster.
  void eraseNonMembers(const WriterRoster &Roster);

  /// All promises held, for passing on to peers.
  std::vector<WriterPromise> promises() const;

  /// What the promises of all members but WriterRoster::maxMissingPromises()
  /// say together; empty while more are missing.
  std::optional<config::FreshnessEvidence>
  evidence(const WriterRoster &Roster) const;

private:
  std::map<base::VmIdentity, WriterPromise> Promises_;
};

} // namespace ebony::trust

#endif
