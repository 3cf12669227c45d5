#ifndef EBONY_AGENT_LOCALDAEMONS_H
#define EBONY_AGENT_LOCALDAEMONS_H

#include "base/clock.h"
#include "config/revision.h"
#include "wire/generated/ebony_types.h"

#include <map>
#include <mutex>
#include <optional>

namespace ebony::agent {

/// Tracks the revisions that the daemons of this VM report as applied.
/// Thread-safe.
class LocalDaemons {
public:
  explicit LocalDaemons(const base::Clock &Clock);

  /// Records that the daemon with \p Role has applied revision \p Applied.
  void recordAppliedRevision(wire::FollowerRole::type Role,
                             config::Revision Applied);

  /// Returns the lowest revision among recent reports, or std::nullopt when no
  /// daemon has reported recently.
  std::optional<config::Revision> lowestAppliedRevision() const;

private:
  struct RevisionReport {
    config::Revision Applied_ = 0;
    base::TimePoint ReportedAt_;
  };

  const base::Clock &Clock_;
  mutable std::mutex Lock_;
  std::map<wire::FollowerRole::type, RevisionReport> Reports_;
};

} // namespace ebony::agent

#endif
