#include "quota/quotaexchange.h"

#include <algorithm>

namespace ebony::quota {

namespace {

/// Minimum parts that justify the messages of a loan and its renewals.
constexpr std::int64_t MinUsefulLoanParts = WholeParts / 256;

} // namespace

std::vector<QuotaMessage> QuotaExchange::receive(const QuotaMessage &Message,
                                                 base::TimePoint Now) {
  std::vector<QuotaMessage> Out;
  if (routeOf(Message).to() != Ledger_.self() ||
      routeOf(Message).customer() != Ledger_.customer())
    return Out;
  Ledger_.advance(Now);
  std::visit([&](const auto &Content) { handle(Content, Out, Now); }, Message);
  return Out;
}

void QuotaExchange::handle(const TransferRequest &Request,
                           std::vector<QuotaMessage> &Out,
                           base::TimePoint Now) {
  const TransferGrant Grant = Ledger_.transfer(
      Request.route().from(), QuotaShare::smaller(Request.wanted(), spare(Now)),
      std::min(Request.wantedTokens(), spareTokens(Now)), Now);
  Out.emplace_back(TransferGrant(Grant.route(), Grant.totalParts(),
                                 Grant.totalTokens(), spare(Now)));
}

void QuotaExchange::handle(const TransferGrant &Grant,
                           std::vector<QuotaMessage> &, base::TimePoint Now) {
  recordAnswer(Grant.route().from(), Grant.spare(), Ledger_.accept(Grant, Now),
               Now);
}

void QuotaExchange::handle(const LoanRequest &Request,
                           std::vector<QuotaMessage> &Out,
                           base::TimePoint Now) {
  const LoanRequest Bounded(Request.route(), Request.number(),
                            Request.attempt(), Request.wanted(),
                            std::min(Request.wantedTokens(), spareTokens(Now)));
  const QuotaShare MaxShare =
      QuotaShare::smaller(spare(Now), Ledger_.owned().lendable());
  const bool IsLargeEnough = MaxShare.sum() >= MinUsefulLoanParts;
  const LoanGrant Grant =
      Ledger_.lend(Bounded, IsLargeEnough ? MaxShare : QuotaShare(), Now);
  Out.emplace_back(
      LoanGrant(Grant.route(), Grant.number(), Grant.attempt(), Grant.share(),
                Grant.tokens(),
                QuotaShare::smaller(spare(Now), Ledger_.owned().lendable())));
}

void QuotaExchange::handle(const LoanGrant &Grant, std::vector<QuotaMessage> &,
                           base::TimePoint Now) {
  const bool IsUseful = Ledger_.accept(Grant, Now);
  if (Grant.attempt() == 0)
    recordAnswer(Grant.route().from(), Grant.spare(), IsUseful, Now);
}

void QuotaExchange::handle(const LoanReturn &Return,
                           std::vector<QuotaMessage> &, base::TimePoint Now) {
  Ledger_.accept(Return, Now);
}

void QuotaExchange::recordAnswer(const base::VmIdentity &Peer, QuotaShare Spare,
                                 bool IsUseful, base::TimePoint Now) {
  const auto Found = Peers_.find(Peer);
  if (Found == Peers_.end())
    return;
  PeerState &State = Found->second;
  State.Spare_ = Spare;
  if (!IsUseful) {
    backOff(State, Now);
    return;
  }
  State.IsRequestPending_ = false;
  State.Backoff_ = base::Duration(0);
  State.NextRequestAt_ = Now + Policy_.PauseAfterGrant_;
}

TransferGrant QuotaExchange::transferAll(const base::VmIdentity &Successor,
                                         base::TimePoint Now) {
  const Tokens All = Ledger_.limits().burst();
  return Ledger_.transfer(Successor, {WholeParts, WholeParts}, All, Now);
}

} // namespace ebony::quota
