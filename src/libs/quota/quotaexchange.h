#ifndef EBONY_QUOTA_QUOTAEXCHANGE_H
#define EBONY_QUOTA_QUOTAEXCHANGE_H

#include "quota/demandestimator.h"
#include "quota/exchangepolicy.h"
#include "quota/quotaledger.h"
#include "quota/quotamessage.h"
#include "quota/quotaneeds.h"
#include "quota/quotapeer.h"
#include "quota/quotadecision.h"

#include <algorithm>
#include <map>
#include <vector>

namespace ebony::quota {

/// Decides for one VM and customer when to ask which peer for quota, ahead of
/// need, and what to give to peers that ask. Whatever it decides, the ledger
/// keeps the limits. Not thread-safe.
class QuotaExchange {
public:
  QuotaExchange(QuotaLedger Ledger, ExchangePolicy Policy,
                base::TimePoint Start);

  /// Replaces the peers that may be asked.
  void setPeers(const std::vector<QuotaPeer> &Peers);

  /// Admits a request that has just come.
  QuotaVerdict admit(base::TimePoint Now);

  /// Admits a request that was told to wait.
  QuotaVerdict retry(base::TimePoint Now);

  /// Notes that a request which was told to wait no longer does.
  void abandon() { Waiting_ = std::max(Waiting_ - 1, 0); }

  /// Messages to send at \p Now; to be called after each request and at least
  /// every 50 ms while there is demand or a loan.
  std::vector<QuotaMessage> poll(base::TimePoint Now);

  /// Takes a message from a peer and returns the answers to it.
  std::vector<QuotaMessage> receive(const QuotaMessage &Message,
                                    base::TimePoint Now);

  /// Gives all that may leave to \p Successor before a planned stop.
  TransferGrant handOver(const base::VmIdentity &Successor,
                         base::TimePoint Now);

  /// Parts that this VM could give to a peer of its zone.
  QuotaShare spare(base::TimePoint Now) const;

  QuotaLedger &ledger() { return Ledger_; }
  const QuotaLedger &ledger() const { return Ledger_; }

private:
  struct PeerState {
    base::Duration RoundTrip_{};
    QuotaShare Spare_;
    base::TimePoint AnswerBy_;
    base::TimePoint NotBefore_;
    base::Duration Pause_{};
    bool IsAsked_ = false;
  };

  QuotaNeeds needs() const { return {Ledger_.limits(), Policy_, Waiting_}; }
  bool isCovered(base::TimePoint Now) const;
  Tokens spareTokens(base::TimePoint Now) const;
  QuotaShare lack(base::TimePoint Now) const;
  bool mayGetSoon(base::TimePoint Now) const;
  bool mayBorrowFrom(const base::VmIdentity &Vm) const;
  void dropUnanswered(base::TimePoint Now);
  void pausePeer(PeerState &State, base::TimePoint Now) const;
  void ask(std::vector<QuotaMessage> &Out, base::TimePoint Now);
  void tendLoans(std::vector<QuotaMessage> &Out, base::TimePoint Now);
  void noteAnswer(const base::VmIdentity &Peer, QuotaShare Spare, bool Helped,
                  base::TimePoint Now);

  void on(const TransferRequest &One, std::vector<QuotaMessage> &Out,
          base::TimePoint Now);
  void on(const TransferGrant &One, std::vector<QuotaMessage> &Out,
          base::TimePoint Now);
  void on(const LoanRequest &One, std::vector<QuotaMessage> &Out,
          base::TimePoint Now);
  void on(const LoanGrant &One, std::vector<QuotaMessage> &Out,
          base::TimePoint Now);
  void on(const LoanReturn &One, std::vector<QuotaMessage> &Out,
          base::TimePoint Now);

  QuotaLedger Ledger_;
  ExchangePolicy Policy_;
  DemandForecast Demand_;
  int Waiting_ = 0;
  std::map<base::VmIdentity, PeerState> Peers_;
};

} // namespace ebony::quota

#endif
