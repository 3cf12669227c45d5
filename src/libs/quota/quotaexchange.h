#ifndef EBONY_QUOTA_QUOTAEXCHANGE_H
#define EBONY_QUOTA_QUOTAEXCHANGE_H

#include "quota/demandforecast.h"
#include "quota/exchangepolicy.h"
#include "quota/quotaledger.h"
#include "quota/quotamessage.h"
#include "quota/quotaneeds.h"
#include "quota/quotapeer.h"
#include "quota/quotaverdict.h"

#include <algorithm>
#include <map>
#include <vector>

namespace ebony::quota {

/// Decides for one VM and customer which peers to request quota from, before it
/// is needed, and how much to grant to peers that request some. The ledger
/// enforces the limits independently of these decisions. Not thread-safe.
class QuotaExchange {
public:
  QuotaExchange(QuotaLedger Ledger, ExchangePolicy Policy,
                base::TimePoint Start);

  /// Replaces the peers that quota may be requested from.
  void setPeers(const std::vector<QuotaPeer> &Peers);

  /// Decides on a new request.
  QuotaVerdict admit(base::TimePoint Now);

  /// Decides again on a waiting request.
  QuotaVerdict retry(base::TimePoint Now);

  /// Records that one request has stopped waiting.
  void cancelWait() { Waiting_ = std::max(Waiting_ - 1, 0); }

  /// Returns the messages to send at \p Now. Call it after each request, and at
  /// least every 50 ms while there is demand or a borrowed loan.
  std::vector<QuotaMessage> poll(base::TimePoint Now);

  /// Handles a message from a peer and returns the answers to it.
  std::vector<QuotaMessage> receive(const QuotaMessage &Message,
                                    base::TimePoint Now);

  /// Transfers all owned parts and tokens to \p Successor before a planned
  /// stop.
  TransferGrant transferAll(const base::VmIdentity &Successor,
                            base::TimePoint Now);

  /// Returns the parts that this VM could transfer to a peer of its zone.
  QuotaShare spare(base::TimePoint Now) const;

  QuotaLedger &ledger() { return Ledger_; }
  const QuotaLedger &ledger() const { return Ledger_; }

private:
  struct PeerState {
    base::Duration RoundTrip_{};
    /// What the peer last said that it could spare.
    QuotaShare Spare_;
    base::TimePoint AnswerDeadline_;
    base::TimePoint NextRequestAt_;
    base::Duration Backoff_{};
    bool IsRequestPending_ = false;
  };

  QuotaNeeds needs() const { return {Ledger_.limits(), Policy_, Waiting_}; }
  bool coversDemand(base::TimePoint Now) const;
  Tokens spareTokens(base::TimePoint Now) const;
  QuotaShare shortfall(base::TimePoint Now) const;
  bool mayReceiveSoon(base::TimePoint Now) const;
  bool canBorrowFrom(const base::VmIdentity &Vm) const;
  void expireUnanswered(base::TimePoint Now);
  void backOff(PeerState &State, base::TimePoint Now) const;
  void requestQuota(std::vector<QuotaMessage> &Out, base::TimePoint Now);
  void maintainLoans(std::vector<QuotaMessage> &Out, base::TimePoint Now);
  void recordAnswer(const base::VmIdentity &Peer, QuotaShare Spare,
                    bool IsUseful, base::TimePoint Now);

  void handle(const TransferRequest &Request, std::vector<QuotaMessage> &Out,
              base::TimePoint Now);
  void handle(const TransferGrant &Grant, std::vector<QuotaMessage> &Out,
              base::TimePoint Now);
  void handle(const LoanRequest &Request, std::vector<QuotaMessage> &Out,
              base::TimePoint Now);
  void handle(const LoanGrant &Grant, std::vector<QuotaMessage> &Out,
              base::TimePoint Now);
  void handle(const LoanReturn &Return, std::vector<QuotaMessage> &Out,
              base::TimePoint Now);

  QuotaLedger Ledger_;
  ExchangePolicy Policy_;
  DemandForecast Demand_;
  int Waiting_ = 0;
  std::map<base::VmIdentity, PeerState> Peers_;
};

} // namespace ebony::quota

#endif
