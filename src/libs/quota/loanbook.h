#ifndef EBONY_QUOTA_LOANBOOK_H
#define EBONY_QUOTA_LOANBOOK_H

#include "quota/loangrant.h"
#include "quota/loanrequest.h"
#include "quota/loanterms.h"

#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace ebony::quota {

/// Loans that one VM has borrowed from and lent to VMs of other zones for one
/// customer, with their end by this VM's clock.
class LoanBook {
public:
  /// Identifies a loan by the other VM and the number that the borrower chose.
  struct Key {
    base::VmIdentity Peer_;
    std::int64_t Number_;

    friend bool operator<(const Key &A, const Key &B) {
      return std::tie(A.Peer_, A.Number_) < std::tie(B.Peer_, B.Number_);
    }
    friend bool operator==(const Key &, const Key &) = default;
  };

  /// Borrowed loan; usable strictly before it expires.
  struct BorrowedLoan {
    QuotaShare Share_;
    base::TimePoint ExpiresAt_;
    std::int64_t Attempt_ = 0;
    base::TimePoint RequestedAt_;
  };

  explicit LoanBook(LoanTerms Terms) : Terms_(Terms) {}

  const LoanTerms &terms() const { return Terms_; }

  /// Records a new loan request at \p Now and returns its number.
  std::int64_t addRequest(const base::VmIdentity &Lender, base::TimePoint Now);

  /// Records an attempt to renew a loan and returns the number of the attempt;
  /// std::nullopt if the loan has expired.
  std::optional<std::int64_t> requestRenewal(const Key &Loan,
                                             base::TimePoint Now);

  /// Applies the grant for a pending request, at most once each. Returns the
  /// share added; empty for renewals, refusals and grants that arrive too late.
  QuotaShare applyGrant(const LoanGrant &Grant, base::TimePoint Now);

  /// Returns the earliest expiry of a borrowed loan, if any.
  std::optional<base::TimePoint> earliestExpiry() const;

  /// Removes the borrowed loans that expire at or before \p Now.
  void removeExpired(base::TimePoint Now);

  /// Returns the sum of the borrowed loans that have not expired at \p Now.
  QuotaShare borrowedShare(base::TimePoint Now) const;

  const std::map<Key, BorrowedLoan> &borrowedLoans() const { return Borrowed_; }

  /// Returns whether the loan is lent at present.
  bool isLent(const Key &Loan) const { return Lent_.count(Loan) != 0; }

  /// Returns the share of a lent loan; empty if the loan is unknown.
  QuotaShare lentShare(const Key &Loan) const;

  /// Records a loan lent at \p Now.
  void addLent(const Key &Loan, QuotaShare Share, base::TimePoint Now);

  /// Extends a lent loan; returns false if it has ended.
  bool extendLent(const Key &Loan, base::TimePoint Now);

  /// Removes a borrowed loan. Returns its share; empty if the loan has expired
  /// or is unknown.
  QuotaShare removeBorrowed(const Key &Loan, base::TimePoint Now);

  /// Removes a lent loan that its borrower has returned. Returns its share, at
  /// most once.
  QuotaShare removeLent(const Key &Loan);

  /// Removes the lent loans that may be reclaimed at \p Now and returns their
  /// sum.
  QuotaShare removeReclaimable(base::TimePoint Now);

  /// Returns the sum of the lent loans that may be reclaimed at \p Now.
  QuotaShare reclaimable(base::TimePoint Now) const;

  /// Returns when the next lent loan may be reclaimed, if any.
  std::optional<base::TimePoint> earliestReclaim() const;

private:
  struct LentLoan {
    QuotaShare Share_;
    base::TimePoint ReclaimAt_;
  };

  LoanTerms Terms_;
  std::int64_t NextNumber_ = 1;
  std::map<Key, base::TimePoint> PendingRequests_;
  std::map<Key, BorrowedLoan> Borrowed_;
  std::map<Key, LentLoan> Lent_;
};

} // namespace ebony::quota

#endif
