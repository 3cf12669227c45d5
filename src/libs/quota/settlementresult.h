#ifndef EBONY_QUOTA_SETTLEMENTRESULT_H
#define EBONY_QUOTA_SETTLEMENTRESULT_H

#include "quota/accountstatement.h"

namespace ebony::quota {

/// Parts of VMs that are gone, as the VM that settles for them takes them over:
/// their draws, and a statement from every other member for each of them.
class Inheritance {
public:
  Inheritance(std::vector<base::VmIdentity> Gone, QuotaHolding Drawn,
              std::vector<AccountStatement> Statements)
      : Gone_(std::move(Gone)), Drawn_(Drawn),
        Statements_(std::move(Statements)) {}

  const std::vector<base::VmIdentity> &gone() const { return Gone_; }
  QuotaHolding drawn() const { return Drawn_; }
  const std::vector<AccountStatement> &statements() const {
    return Statements_;
  }

  friend bool operator==(const Inheritance &, const Inheritance &) = default;

private:
  std::vector<base::VmIdentity> Gone_;
  QuotaHolding Drawn_;
  std::vector<AccountStatement> Statements_;
};

} // namespace ebony::quota

#endif
