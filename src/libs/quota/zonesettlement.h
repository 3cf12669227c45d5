#ifndef EBONY_QUOTA_ZONESETTLEMENT_H
#define EBONY_QUOTA_ZONESETTLEMENT_H

#include "quota/settlementresult.h"
#include "quota/loanterms.h"
#include "quota/zoneallotment.h"

#include <map>
#include <optional>

namespace ebony::quota {

/// Settles for VMs that are gone. Before one VM may take their parts over it
/// needs a statement from every other active member for each of them, and the
/// end of every loan that they may have given.
class ZoneSettlement {
public:
  ZoneSettlement(base::VmIdentity Self, LoanTerms Terms)
      : Self_(std::move(Self)), Terms_(Terms) {}

  /// Takes a statement made out to this VM.
  void accept(const AccountStatement &Statement);

  /// Takes the row as read at \p Now. Returns what the row shows to be settled
  /// since the last call: each inheritance once, to be put into every ledger.
  std::optional<Inheritance> onRow(const ZoneAllotment &Row,
                                   base::TimePoint Now);

  /// Members of \p Row whose statement on some claimed VM is missing.
  std::vector<base::VmIdentity> missing(const ZoneAllotment &Row) const;

  /// The row to write on condition of the version of \p Row, which onRow() has
  /// seen; none while something is missing. Whether the write took effect is
  /// told by the next read alone, also when its answer is lost.
  std::optional<ZoneAllotment> propose(const ZoneAllotment &Row,
                                       base::TimePoint Now);

private:
  using Pair = std::pair<base::VmIdentity, base::VmIdentity>;

  std::vector<base::VmIdentity> gone(const ZoneAllotment &Row) const;
  std::vector<AccountStatement> statements(const ZoneAllotment &Row) const;

  base::VmIdentity Self_;
  LoanTerms Terms_;
  std::map<base::VmIdentity, base::TimePoint> GoneSince_;
  std::map<Pair, AccountStatement> Statements_;
  std::optional<Inheritance> Proposed_;
};

} // namespace ebony::quota

#endif
