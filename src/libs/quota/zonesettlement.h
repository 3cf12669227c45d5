#ifndef EBONY_QUOTA_ZONESETTLEMENT_H
#define EBONY_QUOTA_ZONESETTLEMENT_H

#include "quota/loanterms.h"
#include "quota/settlementresult.h"
#include "quota/zoneallotment.h"

#include <map>
#include <optional>

namespace ebony::quota {

/// Takes over the parts of departed VMs that this VM has claimed. It may do so
/// once it has a statement from every other active member for each of them, and
/// once every loan that they may have lent has ended.
class ZoneSettlement {
public:
  ZoneSettlement(base::VmIdentity Self, LoanTerms Terms)
      : Self_(std::move(Self)), Terms_(Terms) {}

  /// Stores a statement addressed to this VM; ignores others.
  void accept(const AccountStatement &Statement);

  /// Applies the row as read at \p Now. Returns the settlement that the row
  /// shows to have been written since the last call: each settlement once, to
  /// be applied to every ledger.
  std::optional<SettlementResult> applyRow(const ZoneAllotment &Row,
                                           base::TimePoint Now);

  /// Returns the members of \p Row whose statement about a claimed VM is
  /// missing.
  std::vector<base::VmIdentity>
  membersWithoutStatement(const ZoneAllotment &Row) const;

  /// Returns the row to write on condition of the version of \p Row, which must
  /// have been passed to applyRow(); std::nullopt while a statement is missing
  /// or a loan may be in use. Only the next read of the row tells whether the
  /// write took effect, since its answer may be lost.
  std::optional<ZoneAllotment> proposeRow(const ZoneAllotment &Row,
                                          base::TimePoint Now);

private:
  using SenderAndDeparted = std::pair<base::VmIdentity, base::VmIdentity>;

  std::vector<base::VmIdentity> departed(const ZoneAllotment &Row) const;
  std::vector<AccountStatement> statements(const ZoneAllotment &Row) const;

  base::VmIdentity Self_;
  LoanTerms Terms_;
  std::map<base::VmIdentity, base::TimePoint> DepartedSince_;
  std::map<SenderAndDeparted, AccountStatement> Statements_;
  std::optional<SettlementResult> Pending_;
};

} // namespace ebony::quota

#endif
