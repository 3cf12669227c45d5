#ifndef EBONY_CONFIGAGENT_SNAPSHOTPAGER_H
#define EBONY_CONFIGAGENT_SNAPSHOTPAGER_H

#include "config/recordset.h"
#include "configagent/pullmessages.h"

#include <optional>

namespace ebony::configagent {

/// Serves records page by page from a pinned snapshot, which is released when
/// it has not been requested for a while.
class SnapshotPager {
public:
  SnapshotPage answer(const SnapshotPageRequest &Request,
                      const config::RecordSet &Current, base::TimePoint Now);

private:
  std::optional<config::RecordSet> PinnedSnapshot_;
  base::TimePoint LastRequestAt_;
};

/// Assembles the pages of one snapshot.
class SnapshotAssembler {
public:
  SnapshotPageRequest nextRequest() const;

  /// Adds the reply to the last request. Returns the snapshot once the last
  /// page has been added, std::nullopt before.
  std::optional<config::RecordSet> addPage(const SnapshotPage &Page);

private:
  config::Revision SnapshotRevision_ = 0;
  std::size_t Bucket_ = 0;
  std::vector<config::RecordPtr> Records_;
};

} // namespace ebony::configagent

#endif
