#ifndef EBONY_TRUST_WRITERROSTER_H
#define EBONY_TRUST_WRITERROSTER_H

#include "base/vmidentity.h"
#include "config/recordset.h"

#include <cstdint>
#include <vector>

namespace ebony::trust {

/// The VMs whose promises cover one revision. A writer notifies some of them
/// before each commit on top of that revision. The roster is part of the
/// configuration.
class WriterRoster {
public:
  /// Kind of the records that describe the members: one record for each member,
  /// named by its address.
  static constexpr const char *RecordKind = "Writer";

  WriterRoster() = default;
  explicit WriterRoster(std::vector<base::VmIdentity> Members);

  /// Returns the roster that \p Records describe.
  static WriterRoster fromRecords(const config::RecordSet &Records);

  /// Returns a change that adds \p Member, or replaces an earlier incarnation
  /// at its address.
  static config::RecordChange add(const base::VmIdentity &Member);

  /// Returns a change that removes the member at \p Address.
  static config::RecordChange remove(const base::VmAddress &Address);

  /// Returns true if \p Change modifies the roster.
  static bool isChangedBy(const config::ChangeSet &Change);

  /// Returns the members sorted by zone, then address.
  const std::vector<base::VmIdentity> &members() const { return Members_; }
  bool contains(const base::VmIdentity &Member) const;
  std::uint64_t digest() const { return Digest_; }

  /// Returns the number of members whose promises may be missing from combined
  /// evidence.
  std::size_t maxMissingPromises() const;

  /// Returns the number of other members that \p Writer notifies before it
  /// commits. Counting the writer itself if it is a member, that is one more
  /// than maxMissingPromises().
  std::size_t requiredNotifications(const base::VmIdentity &Writer) const;

  friend bool operator==(const WriterRoster &, const WriterRoster &) = default;

private:
  std::vector<base::VmIdentity> Members_;
  std::uint64_t Digest_ = 0;
};

} // namespace ebony::trust

#endif
