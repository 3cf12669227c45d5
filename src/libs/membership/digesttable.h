#ifndef EBONY_MEMBERSHIP_DIGESTTABLE_H
#define EBONY_MEMBERSHIP_DIGESTTABLE_H

#include "membership/digestage.h"
#include "membership/digestentry.h"
#include "membership/membershipsettings.h"
#include "membership/processtime.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace ebony::membership {

/// Digests of the other zones. The most recent digest of a zone replaces older
/// ones; a change of content or of reachability gives the entry a new version.
class DigestTable {
public:
  DigestTable(base::ZoneName OwnZone, const MembershipSettings &Settings);

  /// Merges an entry of a message whose content is as of \p AsOf.
  void merge(const DigestEntry &Entry, const ProcessTime &AsOf);

  /// Updates the issue time of a digest whose content has not changed.
  void refresh(const DigestAge &Known, const ProcessTime &AsOf);

  /// Records that a relay of the own zone reports \p Zone as reachable as of
  /// \p AsOf.
  void recordReportedReachable(const base::ZoneName &Zone,
                               const ProcessTime &AsOf);

  /// Updates the reachability of every zone.
  void updateReachability(const ProcessTime &Now);

  std::int64_t version() const { return Version_; }

  std::vector<DigestEntry> changedSince(std::int64_t Since,
                                        const ProcessTime &Now) const;

  /// Returns the entries that are younger than those in \p Known by \p Margin.
  std::vector<DigestEntry> youngerThan(const std::vector<DigestAge> &Known,
                                       base::Duration Margin,
                                       const ProcessTime &Now) const;

  std::vector<DigestAge> ages(const ProcessTime &Now) const;

private:
  struct Record {
    ZoneDigest Digest_;
    ProcessTime IssuedAt_;
    std::optional<ProcessTime> ReportedReachableAt_;
    bool IsReachable_ = false;
    std::int64_t Version_ = 0;
  };

  static DigestEntry entryFor(const Record &Source, const ProcessTime &Now);

  base::ZoneName OwnZone_;
  base::Duration ZoneTimeout_;
  std::map<base::ZoneName, Record> Records_;
  std::int64_t Version_ = 1;
};

} // namespace ebony::membership

#endif
