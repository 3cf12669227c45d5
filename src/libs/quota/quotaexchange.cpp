#include "quota/quotaexchange.h"

#include <algorithm>

namespace ebony::quota {

namespace {

/// Minimum rate shortfall, as a fraction of the target rate, that is requested.
constexpr double MinRateGap = 0.03;
/// Demand in requests per second below which a VM counts as idle.
constexpr double IdlePerSecond = 0.05;
/// A loan is returned once the remaining parts cover this multiple of the
/// target.
constexpr double ReturnThreshold = 1.1;
/// Time that a peer may take to answer, in addition to the round trip.
constexpr base::Duration AnswerAllowance = std::chrono::milliseconds(20);

/// Maximum number of concurrent loans from one lender.
constexpr std::ptrdiff_t MaxLoansPerLender = 6;

/// Minimum parts requested in one urgent loan.
constexpr std::int64_t MinLoanParts = WholeParts / 12;
/// Fraction of a VM's steady demand that its parts must cover for the VM to
/// count as covered.
constexpr double CoveredFraction = 0.75;

/// Returns \p Share with each positive count raised to the minimum loan.
QuotaShare roundUpToMinLoan(QuotaShare Share) {
  const auto Raised = [](std::int64_t Parts) {
    return Parts > 0 ? std::max(Parts, MinLoanParts) : 0;
  };
  return {Raised(Share.rateParts()), Raised(Share.burstParts())};
}

} // namespace

QuotaExchange::QuotaExchange(QuotaLedger Ledger, ExchangePolicy Policy,
                             base::TimePoint Start)
    : Ledger_(std::move(Ledger)), Policy_(Policy), Demand_(Start) {}

void QuotaExchange::setPeers(const std::vector<QuotaPeer> &Peers) {
  std::map<base::VmIdentity, PeerState> NewPeers;
  // A new peer is assumed to have an equal share to spare.
  const std::int64_t EqualShare = WholeParts / std::int64_t(Peers.size() + 1);
  for (const QuotaPeer &Peer : Peers) {
    const auto Found = Peers_.find(Peer.vm());
    PeerState State = Found == Peers_.end() ? PeerState() : Found->second;
    if (Found == Peers_.end())
      State.Spare_ = {EqualShare, EqualShare};
    State.RoundTrip_ = Peer.roundTrip();
    NewPeers.emplace(Peer.vm(), State);
  }
  Peers_ = std::move(NewPeers);
}

bool QuotaExchange::coversDemand(base::TimePoint Now) const {
  return Ledger_.usable(Now).rateParts() >=
         needs()
             .partsFor(Demand_.steadyRate(Now) * CoveredFraction, 0)
             .rateParts();
}

QuotaShare QuotaExchange::spare(base::TimePoint Now) const {
  const double Recent = Demand_.recentRate(Now);
  const QuotaShare Reserved = needs().partsFor(
      Recent * Policy_.ReserveRateFactor_, needs().reserveTokens(Recent));
  const QuotaShare Unreserved =
      QuotaShare::atLeastZero(Ledger_.usable(Now) - Reserved);
  const QuotaShare Owned = Ledger_.owned().total();
  std::int64_t Burst = Unreserved.burstParts();
  if (Recent > 0 && !needs().isLowRate(Demand_.peakRate(Now))) {
    const std::int64_t Half = coversDemand(Now) ? Owned.burstParts() / 2 : 0;
    // The rate that stays here needs burst parts to hold the tokens it yields.
    const std::int64_t Room = Owned.rateParts() / 2;
    Burst = std::clamp<std::int64_t>(Owned.burstParts() - Room, 0,
                                     std::max(Burst, Half));
  }
  return QuotaShare::smaller({Unreserved.rateParts(), Burst}, Owned);
}

Tokens QuotaExchange::spareTokens(base::TimePoint Now) const {
  const double Reserved =
      needs().reserveTokens(Demand_.recentRate(Now)) * double(TokensPerRequest);
  // A peer without tokens needs them more than a VM that has some, unless this
  // VM's own demand is not covered either.
  const Tokens Half = coversDemand(Now) ? Ledger_.tokens() / 2 : 0;
  return std::max<Tokens>(Ledger_.tokens() - Tokens(Reserved), Half);
}

QuotaVerdict QuotaExchange::admit(base::TimePoint Now) {
  Demand_.recordRequest(Now);
  if (Ledger_.tryAdmit(Now))
    return QuotaVerdict::Admit;
  if (!mayReceiveSoon(Now))
    return QuotaVerdict::Refuse;
  ++Waiting_;
  return QuotaVerdict::Wait;
}

QuotaVerdict QuotaExchange::retry(base::TimePoint Now) {
  const bool Admitted = Ledger_.tryAdmit(Now);
  if (!Admitted && mayReceiveSoon(Now))
    return QuotaVerdict::Wait;
  cancelWait();
  return Admitted ? QuotaVerdict::Admit : QuotaVerdict::Refuse;
}

bool QuotaExchange::mayReceiveSoon(base::TimePoint Now) const {
  return std::any_of(Peers_.begin(), Peers_.end(), [&](const auto &Entry) {
    const PeerState &State = Entry.second;
    return State.IsRequestPending_
               ? State.AnswerDeadline_ > Now
               : State.NextRequestAt_ <= Now + Policy_.RetryHorizon_;
  });
}

QuotaShare QuotaExchange::shortfall(base::TimePoint Now) const {
  const double Demand = Demand_.peakRate(Now);
  if (Demand < IdlePerSecond)
    return {};
  const QuotaShare Wanted = needs().partsFor(Demand * Policy_.TargetRateFactor_,
                                             needs().targetTokens(Demand));
  const QuotaShare Gap = Wanted - Ledger_.usable(Now);
  const double Yield = double(Ledger_.usable(Now).rateParts()) /
                       double(WholeParts) * double(Ledger_.limits().rate()) *
                       base::toSeconds(Policy_.Lookahead_);
  const double TokenShortfall =
      needs().targetTokens(Demand) * double(TokensPerRequest) -
      double(Ledger_.tokens()) - Yield;
  const QuotaShare ForTokens = needs().partsFor(
      0, std::max(TokenShortfall, 0.0) / double(TokensPerRequest));
  const bool IsRateGapLarge =
      double(Gap.rateParts()) > MinRateGap * double(Wanted.rateParts());
  const std::int64_t Burst = std::max(Gap.burstParts(), ForTokens.burstParts());
  // Rate and burst are requested together: a VM whose burst parts cannot hold
  // what its rate yields loses the excess tokens.
  const std::int64_t Rate = IsRateGapLarge ? Gap.rateParts() : 0;
  const bool IsEmpty = Ledger_.tokens() < TokensPerRequest;
  return QuotaShare::atLeastZero(
      {needs().isLowRate(Demand_.peakRate(Now)) || IsEmpty
           ? std::max(Rate, Burst)
           : Rate,
       Burst});
}

bool QuotaExchange::canBorrowFrom(const base::VmIdentity &Vm) const {
  const auto &Borrowed = Ledger_.loans().borrowedLoans();
  const auto First = Borrowed.lower_bound({Vm, 0});
  const auto Last = Borrowed.lower_bound({Vm, INT64_MAX});
  return std::distance(First, Last) < MaxLoansPerLender;
}

void QuotaExchange::expireUnanswered(base::TimePoint Now) {
  for (auto &[Vm, State] : Peers_)
    if (State.IsRequestPending_ && State.AnswerDeadline_ <= Now)
      backOff(State, Now);
}

void QuotaExchange::backOff(PeerState &State, base::TimePoint Now) const {
  State.IsRequestPending_ = false;
  State.Backoff_ =
      std::clamp(State.Backoff_ * 2, Policy_.MinBackoff_, Policy_.MaxBackoff_);
  State.NextRequestAt_ = Now + State.Backoff_;
}

void QuotaExchange::requestQuota(std::vector<QuotaMessage> &Out,
                                 base::TimePoint Now) {
  expireUnanswered(Now);
  QuotaShare Shortfall = shortfall(Now);
  if (Shortfall.isEmpty())
    return;
  const bool IsUrgent =
      Ledger_.tokens() < TokensPerRequest && !coversDemand(Now);
  const int MaxPending = Waiting_ > 0 ? Policy_.MaxPendingWhileWaiting_
                                      : Policy_.MaxPendingRequests_;
  int Pending = 0;
  std::vector<std::pair<std::int64_t, base::VmIdentity>> Candidates;
  for (const auto &[Vm, State] : Peers_) {
    if (State.IsRequestPending_) {
      ++Pending;
      if (Waiting_ == 0)
        Shortfall = QuotaShare::atLeastZero(Shortfall - State.Spare_);
      continue;
    }
    // Transfers within the zone are preferred, as they need no renewal.
    const bool IsSameZone = Vm.zone() == Ledger_.self().zone();
    if (State.NextRequestAt_ <= Now && (IsSameZone || canBorrowFrom(Vm)))
      Candidates.emplace_back(State.Spare_.sum() * (IsSameZone ? 4 : 1), Vm);
  }
  std::sort(Candidates.begin(), Candidates.end(),
            [](const auto &A, const auto &B) { return A.first > B.first; });
  for (const auto &[Score, Vm] : Candidates) {
    if (Pending >= MaxPending || Shortfall.isEmpty())
      break;
    PeerState &State = Peers_.at(Vm);
    const Tokens Wanted = Ledger_.limits().capacityOf(Shortfall.burstParts());
    const QuotaRoute Route(Ledger_.self(), Vm, Ledger_.customer());
    if (Vm.zone() == Ledger_.self().zone())
      Out.emplace_back(TransferRequest(Route, Shortfall, Wanted));
    else
      Out.emplace_back(Ledger_.requestLoan(
          Vm, IsUrgent ? roundUpToMinLoan(Shortfall) : Shortfall, Wanted, Now));
    State.IsRequestPending_ = true;
    State.AnswerDeadline_ = Now + State.RoundTrip_ * 3 / 2 + AnswerAllowance;
    // Spare parts do not tell whether the peer has tokens, which a waiting
    // request needs.
    if (Waiting_ == 0)
      Shortfall = QuotaShare::atLeastZero(Shortfall - State.Spare_);
    ++Pending;
  }
}

void QuotaExchange::maintainLoans(std::vector<QuotaMessage> &Out,
                                  base::TimePoint Now) {
  const double Demand = Demand_.peakRate(Now);
  const QuotaShare Needed = needs().partsFor(
      needs().isLowRate(Demand_.peakRate(Now))
          ? 0
          : Demand * Policy_.TargetRateFactor_ * ReturnThreshold,
      needs().targetTokens(Demand) * ReturnThreshold);
  const base::Duration LeaseDuration = Ledger_.loans().terms().leaseDuration();
  QuotaShare Held = Ledger_.usable(Now);
  std::vector<LoanBook::Key> Returns;
  std::vector<LoanBook::Key> Renewals;
  for (const auto &[Key, Loan] : Ledger_.loans().borrowedLoans()) {
    const QuotaShare Remaining = Held - Loan.Share_;
    if (Remaining.rateParts() >= Needed.rateParts() &&
        Remaining.burstParts() >= Needed.burstParts()) {
      Held = Remaining;
      Returns.push_back(Key);
    } else if (Loan.ExpiresAt_ - Now < LeaseDuration / 2 &&
               Now - Loan.RequestedAt_ > LeaseDuration / 8) {
      Renewals.push_back(Key);
    }
  }
  for (const LoanBook::Key &Key : Returns)
    if (const auto Return = Ledger_.returnLoan(Key, Now))
      Out.emplace_back(*Return);
  for (const LoanBook::Key &Key : Renewals)
    if (const auto Renewal = Ledger_.requestRenewal(Key, Now))
      Out.emplace_back(*Renewal);
}

std::vector<QuotaMessage> QuotaExchange::poll(base::TimePoint Now) {
  std::vector<QuotaMessage> Out;
  if (Ledger_.loans().borrowedLoans().empty() &&
      Demand_.peakRate(Now) < IdlePerSecond)
    return Out;
  Ledger_.advance(Now);
  maintainLoans(Out, Now);
  requestQuota(Out, Now);
  return Out;
}

} // namespace ebony::quota
