#ifndef EBONY_QUOTA_QUOTALEDGER_H
#define EBONY_QUOTA_QUOTALEDGER_H

#include "quota/settlementresult.h"
#include "quota/loantable.h"
#include "quota/loanreturn.h"
#include "quota/tokenbucket.h"
#include "quota/transferaccount.h"
#include "quota/transfergrant.h"
#include "quota/transferrequest.h"

#include <map>
#include <vector>

namespace ebony::quota {

/// Holdings of one VM incarnation for one customer. Over all VMs the usable
/// parts never sum past the whole, and a VM's tokens never pass what its
/// burst parts hold; so every window of length w admits at most
/// burst + rate * w. Not thread-safe.
class QuotaLedger {
public:
  /// \p Drawn is what the zone's allotment row gives to this incarnation. The
  /// bucket begins empty at \p Start.
  QuotaLedger(base::VmIdentity Self, base::CustomerName Customer,
              QuotaLimits Limits, LoanTerms Terms, QuotaHolding Drawn,
              base::TimePoint Start);

  /// Takes the tokens of one request when there are as many.
  bool tryAdmit(base::TimePoint Now);

  /// Applies limits of a later revision; earlier ones are ignored.
  void setLimits(const QuotaLimits &Limits, base::TimePoint Now);

  /// Gives up to \p Wanted parts, with tokens, to a VM of the same zone. The
  /// parts leave this ledger before the grant exists.
  TransferGrant give(const base::VmIdentity &Taker, QuotaShare Wanted,
                     Tokens WantedTokens, base::TimePoint Now);

  /// Takes what of a grant is new. False when it adds nothing.
  bool accept(const TransferGrant &Grant, base::TimePoint Now);

  /// Request for a loan of \p Wanted from a VM of another zone.
  LoanRequest askLoan(const base::VmIdentity &Lender, QuotaShare Wanted,
                      Tokens WantedTokens, base::TimePoint Now);

  /// Request to renew a loan taken; none when it has lapsed.
  std::optional<LoanRequest> askRenewal(const LoanBook::Key &Loan,
                                        base::TimePoint Now);

  /// Lends at most \p Most of what is asked for, never of the floor, or
  /// renews the loan named.
  LoanGrant lend(const LoanRequest &Request, QuotaShare Most,
                 base::TimePoint Now);

  /// Takes an answer to an open loan request. False when it adds nothing.
  bool accept(const LoanGrant &Grant, base::TimePoint Now);

  /// Gives a loan up before its lease ends. The parts leave this ledger before
  /// the message exists. None when the loan has lapsed.
  std::optional<LoanReturn> returnLoan(const LoanBook::Key &Loan,
                                       base::TimePoint Now);

  /// Takes back a loan that its borrower gave up. False when it adds nothing.
  bool accept(const LoanReturn &Return, base::TimePoint Now);

  /// Closes the account with \p Gone for good in favour of \p Successor, who
  /// claims its parts. Asked again, says the same again.
  AccountNet close(const base::VmIdentity &Gone,
                   const base::VmIdentity &Successor);

  /// Takes over the parts of VMs that are gone, once the table has recorded
  /// the settlement.
  void inherit(const Inheritance &Parts, base::TimePoint Now);

  /// Parts that count at \p Now, loans taken included.
  QuotaShare usable(base::TimePoint Now) const;

  /// Parts owned and not lent.
  QuotaHolding owned() const { return Owned_; }

  /// Tokens at the last change.
  Tokens tokens() const { return Bucket_.level(); }

  /// Brings lapses, returns and tokens up to \p Now.
  void advance(base::TimePoint Now);

  const QuotaLimits &limits() const { return Limits_; }
  const LoanBook &loans() const { return Loans_; }
  const base::VmIdentity &self() const { return Self_; }
  const base::CustomerName &customer() const { return Customer_; }

private:
  QuotaRoute routeTo(const base::VmIdentity &Peer) const;
  Tokens capacity(base::TimePoint Now) const;
  Tokens takeTokensFor(QuotaShare Moved, Tokens Wanted, base::TimePoint Now);

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
