#ifndef EBONY_TRUST_WRITERROSTER_H
#define EBONY_TRUST_WRITERROSTER_H

#include "base/vmidentity.h"
#include "config/recordset.h"

#include <cstdint>
#include <vector>

namespace ebony::trust {

/// The VMs whose promises cover one revision: each commit on top of it is told
/// to some of them first. It is part of the configuration.
class WriterRoster {
public:
  /// Kind of the records that hold the members, one each, named by address.
  static constexpr const char *RecordKind = "Writer";

  WriterRoster() = default;
  explicit WriterRoster(std::vector<base::VmIdentity> Members);

  /// Roster that \p Records hold.
  static WriterRoster fromRecords(const config::RecordSet &Records);

  /// Change that makes \p Member a member, in place of an earlier incarnation
  /// at its address.
  static config::RecordChange add(const base::VmIdentity &Member);

  /// Change that removes the member at \p Address.
  static config::RecordChange remove(const base::VmAddress &Address);

  /// True when \p Change touches the roster.
  static bool isChangedBy(const config::ChangeSet &Change);

  /// Members sorted by zone, then address.
  const std::vector<base::VmIdentity> &members() const { return Members_; }
  bool contains(const base::VmIdentity &One) const;
  std::uint64_t digest() const { return Digest_; }

  /// Members that a holder of promises may miss.
  std::size_t maxMissingPromises() const;

  /// Members besides itself that \p Writer tells before it commits: with
  /// itself, if it is one, one more than a holder may miss.
  std::size_t requiredNotifications(const base::VmIdentity &Writer) const;

  friend bool operator==(const WriterRoster &, const WriterRoster &) = default;

private:
  std::vector<base::VmIdentity> Members_;
  std::uint64_t Digest_ = 0;
};

} // namespace ebony::trust

#endif
