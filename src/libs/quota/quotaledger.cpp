#include "quota/quotaledger.h"

#include <algorithm>

namespace ebony::quota {

QuotaLedger::QuotaLedger(base::VmIdentity Self, base::CustomerName Customer,
                         QuotaLimits Limits, LoanTerms Terms,
                         QuotaHolding Drawn, base::TimePoint Start)
    : Self_(std::move(Self)), Customer_(std::move(Customer)), Limits_(Limits),
      Owned_(Drawn), Loans_(Terms), Bucket_(Start, Terms.driftPpm()) {}

QuotaRoute QuotaLedger::routeTo(const base::VmIdentity &Peer) const {
  return {Self_, Peer, Customer_};
}

QuotaShare QuotaLedger::usable(base::TimePoint Now) const {
  return Owned_.total() + Loans_.borrowedShare(Now) + Loans_.reclaimable(Now);
}

Tokens QuotaLedger::capacity(base::TimePoint Now) const {
  return Limits_.capacityOf(
      (Owned_.total() + Loans_.borrowedShare(Now)).burstParts());
}

void QuotaLedger::advance(base::TimePoint Now) {
  // A loan yields tokens until it expires and no longer, however late this
  // function is called.
  while (const auto Expiry = Loans_.earliestExpiry()) {
    if (*Expiry > Now)
      break;
    const QuotaShare Before =
        Owned_.total() + Loans_.borrowedShare(*Expiry - base::Duration(1));
    Bucket_.refill(*Expiry, Limits_, Before.rateParts(),
                   Limits_.capacityOf(Before.burstParts()));
    Loans_.removeExpired(*Expiry);
  }
  const QuotaShare Held = Owned_.total() + Loans_.borrowedShare(Now);
  Bucket_.refill(Now, Limits_, Held.rateParts(),
                 Limits_.capacityOf(Held.burstParts()));
  Owned_ = Owned_ + QuotaHolding({}, Loans_.removeReclaimable(Now));
}

bool QuotaLedger::tryAdmit(base::TimePoint Now) {
  advance(Now);
  return Bucket_.take(TokensPerRequest);
}

void QuotaLedger::setLimits(const QuotaLimits &Limits, base::TimePoint Now) {
  if (Limits.revision() <= Limits_.revision())
    return;
  advance(Now);
  Limits_ = Limits;
  Bucket_.add(0, capacity(Now));
}

Tokens QuotaLedger::withdrawTokens(QuotaShare MovedParts, Tokens Wanted,
                                   base::TimePoint Now) {
  // Tokens that no longer fit here move along; they would be lost otherwise.
  const Tokens Surplus = Bucket_.level() - capacity(Now);
  const Tokens Fit = Limits_.capacityOf(MovedParts.burstParts());
  const Tokens Available =
      std::min({std::max(Wanted, Surplus), Fit, Bucket_.level()});
  const Tokens Withdrawn = std::max<Tokens>(Available, 0);
  Bucket_.take(Withdrawn);
  Bucket_.add(0, capacity(Now));
  return Withdrawn;
}

TransferGrant QuotaLedger::transfer(const base::VmIdentity &Receiver,
                                    QuotaShare Wanted, Tokens WantedTokens,
                                    base::TimePoint Now) {
  advance(Now);
  TransferAccount &Account = Accounts_[Receiver];
  const bool MayTransfer = !Account.ClosedFor_ &&
                           Receiver.zone() == Self_.zone() && Receiver != Self_;
  const QuotaHolding MovedParts =
      MayTransfer ? Owned_.pick(Wanted) : QuotaHolding();
  Owned_ = Owned_ - MovedParts;
  Account.Sent_ = Account.Sent_ + MovedParts;
  Account.SentTokens_ += withdrawTokens(MovedParts.total(), WantedTokens, Now);
  return {routeTo(Receiver), Account.Sent_, Account.SentTokens_, {}};
}

bool QuotaLedger::accept(const TransferGrant &Grant, base::TimePoint Now) {
  const QuotaRoute &Route = Grant.route();
  if (Route.to() != Self_ || Route.from().zone() != Self_.zone())
    return false;
  TransferAccount &Account = Accounts_[Route.from()];
  const QuotaHolding Added = Grant.totalParts() - Account.Received_;
  if (Account.ClosedFor_ || Added == QuotaHolding() ||
      Grant.totalTokens() < Account.ReceivedTokens_ ||
      Added.total().rateParts() < 0 || Added.total().burstParts() < 0)
    return false;
  advance(Now);
  Owned_ = Owned_ + Added;
  Bucket_.add(Grant.totalTokens() - Account.ReceivedTokens_, capacity(Now));
  Account.Received_ = Grant.totalParts();
  Account.ReceivedTokens_ = Grant.totalTokens();
  return true;
}

LoanRequest QuotaLedger::requestLoan(const base::VmIdentity &Lender,
                                     QuotaShare Wanted, Tokens WantedTokens,
                                     base::TimePoint Now) {
  return {routeTo(Lender), Loans_.addRequest(Lender, Now), 0, Wanted,
          WantedTokens};
}

std::optional<LoanRequest>
QuotaLedger::requestRenewal(const LoanBook::Key &Loan, base::TimePoint Now) {
  const auto Attempt = Loans_.requestRenewal(Loan, Now);
  if (!Attempt)
    return std::nullopt;
  return LoanRequest(routeTo(Loan.Peer_), Loan.Number_, *Attempt, {}, 0);
}

LoanGrant QuotaLedger::lend(const LoanRequest &Request, QuotaShare MaxShare,
                            base::TimePoint Now) {
  advance(Now);
  const QuotaRoute ReplyRoute = Request.route().reversed();
  const LoanBook::Key Loan{Request.route().from(), Request.number()};
  if (ReplyRoute.from() != Self_)
    return {ReplyRoute, Request.number(), Request.attempt(), {}, 0, {}};
  if (Request.attempt() > 0) {
    const QuotaShare Kept =
        Loans_.extendLent(Loan, Now) ? Loans_.lentShare(Loan) : QuotaShare();
    return {ReplyRoute, Request.number(), Request.attempt(), Kept, 0, {}};
  }
  if (Loans_.isLent(Loan))
    return {ReplyRoute, Request.number(), 0, Loans_.lentShare(Loan), 0, {}};
  const QuotaShare Share = QuotaShare::atLeastZero(QuotaShare::smaller(
      QuotaShare::smaller(Request.wanted(), MaxShare), Owned_.lendable()));
  if (Share.isEmpty())
    return {ReplyRoute, Request.number(), 0, {}, 0, {}};
  Owned_ = Owned_ - QuotaHolding({}, Share);
  Loans_.addLent(Loan, Share, Now);
  const Tokens Withdrawn = withdrawTokens(Share, Request.wantedTokens(), Now);
  return {ReplyRoute, Request.number(), 0, Share, Withdrawn, {}};
}

bool QuotaLedger::accept(const LoanGrant &Grant, base::TimePoint Now) {
  if (Grant.route().to() != Self_)
    return false;
  advance(Now);
  const QuotaShare Added = Loans_.applyGrant(Grant, Now);
  if (Added.isEmpty())
    return false;
  Bucket_.add(Grant.tokens(), capacity(Now));
  return true;
}

std::optional<LoanReturn> QuotaLedger::returnLoan(const LoanBook::Key &Loan,
                                                  base::TimePoint Now) {
  advance(Now);
  const QuotaShare Share = Loans_.removeBorrowed(Loan, Now);
  if (Share.isEmpty())
    return std::nullopt;
  return LoanReturn(routeTo(Loan.Peer_), Loan.Number_,
                    withdrawTokens(Share, 0, Now));
}

bool QuotaLedger::accept(const LoanReturn &Return, base::TimePoint Now) {
  const QuotaRoute &Route = Return.route();
  if (Route.to() != Self_)
    return false;
  advance(Now);
  const QuotaShare Share = Loans_.removeLent({Route.from(), Return.number()});
  if (Share.isEmpty())
    return false;
  Owned_ = Owned_ + QuotaHolding({}, Share);
  Bucket_.add(Return.tokens(), capacity(Now));
  return true;
}

AccountBalance QuotaLedger::closeAccount(const base::VmIdentity &Departed,
                                         const base::VmIdentity &Successor) {
  TransferAccount &Account = Accounts_[Departed];
  if (!Account.ClosedFor_) {
    Account.ClosedFor_ = Successor;
    if (Successor != Self_) {
      TransferAccount &SuccessorAccount = Accounts_[Successor];
      SuccessorAccount.SettledBalance_ =
          SuccessorAccount.SettledBalance_ + Account.balance();
    }
  }
  // If the account was closed for another VM, its balance is already part of
  // the account with that VM.
  const QuotaHolding Balance =
      *Account.ClosedFor_ == Successor ? Account.balance() : QuotaHolding();
  return {Customer_, Balance};
}

void QuotaLedger::applySettlement(const SettlementResult &Settlement,
                                  base::TimePoint Now) {
  advance(Now);
  QuotaHolding TakenOver = Settlement.drawn();
  for (const base::VmIdentity &Vm : Settlement.departed())
    TakenOver = TakenOver + closeAccount(Vm, Self_).balance();
  for (const AccountStatement &Statement : Settlement.statements()) {
    const QuotaHolding Balance = Statement.balance(Customer_);
    TakenOver = TakenOver + Balance;
    TransferAccount &Account = Accounts_[Statement.from()];
    Account.SettledBalance_ = Account.SettledBalance_ - Balance;
  }
  Owned_ = Owned_ + TakenOver;
}

} // namespace ebony::quota
