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

/// Digests of the other zones. The youngest word on a zone wins; a change of
/// content or of reachability gives it a new version.
class DigestTable {
public:
  DigestTable(base::ZoneName OwnZone, const MembershipSettings &Settings);

  /// Takes in an entry of a message whose content is as of \p AsOf.
  void merge(const DigestEntry &Entry, const ProcessTime &AsOf);

  /// A digest whose content is known was issued later.
  void refresh(const DigestAge &Known, const ProcessTime &AsOf);

  /// A relay of the own zone says that \p Zone is reachable as of \p AsOf.
  void vouch(const base::ZoneName &Zone, const ProcessTime &AsOf);

  /// Judges reachability anew.
  void review(const ProcessTime &Now);

  std::int64_t version() const { return Version_; }

  std::vector<DigestEntry> changedSince(std::int64_t Since,
                                        const ProcessTime &Now) const;

  /// Entries that are younger than what \p Known tells, by \p Margin.
  std::vector<DigestEntry> youngerThan(const std::vector<DigestAge> &Known,
                                       base::Duration Margin,
                                       const ProcessTime &Now) const;

  std::vector<DigestAge> ages(const ProcessTime &Now) const;

private:
  struct Record {
    ZoneDigest Digest_;
    ProcessTime Issued_;
    std::optional<ProcessTime> Vouched_;
    bool IsReachable_ = false;
    std::int64_t Version_ = 0;
  };

  static DigestEntry entry(const Record &One, const ProcessTime &Now);

  base::ZoneName OwnZone_;
  base::Duration ZoneSilence_;
  std::map<base::ZoneName, Record> Records_;
  std::int64_t Version_ = 1;
};

} // namespace ebony::membership

#endif
