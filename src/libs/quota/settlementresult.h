#ifndef EBONY_QUOTA_SETTLEMENTRESULT_H
#define EBONY_QUOTA_SETTLEMENTRESULT_H

#include "quota/accountstatement.h"

namespace ebony::quota {

/// What the settling VM takes over from departed VMs: the parts they have drawn
/// from the zone's row, and for each of them a statement from every other
/// active member.
class SettlementResult {
public:
  SettlementResult(std::vector<base::VmIdentity> Departed, QuotaHolding Drawn,
                   std::vector<AccountStatement> Statements)
      : Departed_(std::move(Departed)), Drawn_(Drawn),
        Statements_(std::move(Statements)) {}

  const std::vector<base::VmIdentity> &departed() const { return Departed_; }
  QuotaHolding drawn() const { return Drawn_; }
  const std::vector<AccountStatement> &statements() const {
    return Statements_;
  }

  friend bool operator==(const SettlementResult &,
                         const SettlementResult &) = default;

private:
  std::vector<base::VmIdentity> Departed_;
  QuotaHolding Drawn_;
  std::vector<AccountStatement> Statements_;
};

} // namespace ebony::quota

#endif
