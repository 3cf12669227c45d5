#ifndef EBONY_QUOTA_LOANTABLE_H
#define EBONY_QUOTA_LOANTABLE_H

#include "quota/loangrant.h"
#include "quota/loanrequest.h"
#include "quota/loanterms.h"

#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace ebony::quota {

/// Loans that one VM has taken from and given to VMs of other zones for one
/// customer, and when each ends by this VM's clock.
class LoanBook {
public:
  /// A loan is known by the other side and the borrower's number.
  struct Key {
    base::VmIdentity Peer_;
    std::int64_t Number_;

    friend bool operator<(const Key &A, const Key &B) {
      return std::tie(A.Peer_, A.Number_) < std::tie(B.Peer_, B.Number_);
    }
    friend bool operator==(const Key &, const Key &) = default;
  };

  /// Loan taken; it may be used strictly before its lapse.
  struct Taken {
    QuotaShare Share_;
    base::TimePoint LapseAt_;
    std::int64_t Attempt_ = 0;
    base::TimePoint AskedAt_;
  };

  explicit LoanBook(LoanTerms Terms) : Terms_(Terms) {}

  const LoanTerms &terms() const { return Terms_; }

  /// Notes a new request at \p Now and returns its number.
  std::int64_t ask(const base::VmIdentity &Lender, base::TimePoint Now);

  /// Notes an attempt to renew and returns its number; none if it lapsed.
  std::optional<std::int64_t> askRenewal(const Key &Loan, base::TimePoint Now);

  /// Takes a grant to an open request, at most once each. Returns the share
  /// that is new; empty for renewals, refusals and grants that came too late.
  QuotaShare accept(const LoanGrant &Grant, base::TimePoint Now);

  /// The earliest lapse of a loan taken, if any.
  std::optional<base::TimePoint> earliestLapse() const;

  /// Drops the loans taken that lapse at or before \p Now.
  void dropLapsed(base::TimePoint Now);

  /// Sum of the loans taken that have not lapsed at \p Now.
  QuotaShare borrowed(base::TimePoint Now) const;

  const std::map<Key, Taken> &taken() const { return Taken_; }

  /// Whether the loan is out already.
  bool isOut(const Key &Loan) const { return Given_.count(Loan) != 0; }

  /// Share of a loan that is out.
  QuotaShare shareOut(const Key &Loan) const;

  /// Notes a loan given at \p Now.
  void give(const Key &Loan, QuotaShare Share, base::TimePoint Now);

  /// Extends a loan given; false if it is over.
  bool renew(const Key &Loan, base::TimePoint Now);

  /// Drops a loan taken; its share, or nothing if it has lapsed or is unknown.
  QuotaShare drop(const Key &Loan, base::TimePoint Now);

  /// Takes back a loan given that its borrower has dropped, at most once.
  QuotaShare takeBack(const Key &Loan);

  /// Sum of the loans given whose wait is over at \p Now; they are removed.
  QuotaShare takeReturned(base::TimePoint Now);

  /// Sum of the loans given whose wait is over at \p Now.
  QuotaShare returned(base::TimePoint Now) const;

  /// When the next loan given comes back, if any.
  std::optional<base::TimePoint> earliestReturn() const;

private:
  struct Given {
    QuotaShare Share_;
    base::TimePoint ReturnAt_;
  };

  LoanTerms Terms_;
  std::int64_t NextNumber_ = 1;
  std::map<Key, base::TimePoint> Asked_;
  std::map<Key, Taken> Taken_;
  std::map<Key, Given> Given_;
};

} // namespace ebony::quota

#endif
