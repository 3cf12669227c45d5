#ifndef EBONY_QUOTA_QUOTALEDGER_H
#define EBONY_QUOTA_QUOTALEDGER_H

#include "quota/loanbook.h"
#include "quota/loanreturn.h"
#include "quota/settlementresult.h"
#include "quota/tokenbucket.h"
#include "quota/transferaccount.h"
#include "quota/transfergrant.h"
#include "quota/transferrequest.h"

#include <map>
#include <vector>

namespace ebony::quota {

/// Holdings of one VM incarnation for one customer. The usable parts of all VMs
/// together never exceed WholeParts, and a VM's tokens never exceed the
/// capacity of its burst parts; so every window of length w admits at most
/// burst + rate * w. Not thread-safe.
class QuotaLedger {
public:
  /// \p Drawn is what this incarnation has drawn from the zone's allotment row.
  /// The bucket is empty at \p Start.
  QuotaLedger(base::VmIdentity Self, base::CustomerName Customer,
              QuotaLimits Limits, LoanTerms Terms, QuotaHolding Drawn,
              base::TimePoint Start);

  /// Takes the tokens of one request. Returns false if there are too few.
  bool tryAdmit(base::TimePoint Now);

  /// Applies limits of a later revision; earlier ones are ignored.
  void setLimits(const QuotaLimits &Limits, base::TimePoint Now);

  /// Transfers up to \p Wanted parts, with tokens, to a VM of the same zone.
  /// The parts are removed from this ledger before the grant is created.
  TransferGrant transfer(const base::VmIdentity &Receiver, QuotaShare Wanted,
                         Tokens WantedTokens, base::TimePoint Now);

  /// Adds what \p Grant contains beyond earlier grants. Returns false if that
  /// is nothing.
  bool accept(const TransferGrant &Grant, base::TimePoint Now);

  /// Creates a request for a loan of \p Wanted from a VM of another zone.
  LoanRequest requestLoan(const base::VmIdentity &Lender, QuotaShare Wanted,
                          Tokens WantedTokens, base::TimePoint Now);

  /// Creates a request to renew a borrowed loan; std::nullopt if it has
  /// expired.
  std::optional<LoanRequest> requestRenewal(const LoanBook::Key &Loan,
                                            base::TimePoint Now);

  /// Lends at most \p MaxShare of the parts requested, never of the floor, or
  /// renews the requested loan.
  LoanGrant lend(const LoanRequest &Request, QuotaShare MaxShare,
                 base::TimePoint Now);

  /// Applies the answer to a pending loan request. Returns false if it adds
  /// nothing.
  bool accept(const LoanGrant &Grant, base::TimePoint Now);

  /// Returns a borrowed loan before its lease ends. The parts are removed from
  /// this ledger before the message is created; std::nullopt if the loan has
  /// expired.
  std::optional<LoanReturn> returnLoan(const LoanBook::Key &Loan,
                                       base::TimePoint Now);

  /// Adds the parts of a loan that its borrower has returned. Returns false if
  /// there are none.
  bool accept(const LoanReturn &Return, base::TimePoint Now);

  /// Closes the account with \p Departed permanently and returns its balance
  /// for \p Successor, which has claimed the parts of \p Departed. Idempotent.
  AccountBalance closeAccount(const base::VmIdentity &Departed,
                              const base::VmIdentity &Successor);

  /// Takes over the parts of departed VMs, once the table has recorded the
  /// settlement.
  void applySettlement(const SettlementResult &Settlement, base::TimePoint Now);

  /// Returns the parts usable at \p Now, including borrowed ones.
  QuotaShare usable(base::TimePoint Now) const;

  /// Returns the parts that are owned and not lent.
  QuotaHolding owned() const { return Owned_; }

  /// Returns the tokens as of the last change.
  Tokens tokens() const { return Bucket_.level(); }

  /// Applies expired loans, reclaimed loans and the token refill up to \p Now.
  void advance(base::TimePoint Now);

  const QuotaLimits &limits() const { return Limits_; }
  const LoanBook &loans() const { return Loans_; }
  const base::VmIdentity &self() const { return Self_; }
  const base::CustomerName &customer() const { return Customer_; }

private:
  QuotaRoute routeTo(const base::VmIdentity &Peer) const;
  Tokens capacity(base::TimePoint Now) const;
  Tokens withdrawTokens(QuotaShare MovedParts, Tokens Wanted,
                        base::TimePoint Now);

  base::VmIdentity Self_;
  base::CustomerName Customer_;
  QuotaLimits Limits_;
  QuotaHolding Owned_;
  LoanBook Loans_;
  TokenBucket Bucket_;
  std::map<base::VmIdentity, TransferAccount> Accounts_;
};

} // namespace ebony::quota

#endif
