#ifndef EBONY_VM_VMDAEMON_H
#define EBONY_VM_VMDAEMON_H

#include "vm/callersession.h"
#include "vm/knowledge.h"
#include "vm/peerexchange.h"
#include "vm/plainserver.h"
#include "vm/quotakeeper.h"
#include "vm/tokendesk.h"

#include <boost/asio/signal_set.hpp>

namespace ebony::vm {

/// The one process of an entry VM: serves callers and the directory, follows
/// the store, and keeps in touch with the other VMs.
class VmDaemon {
public:
  VmDaemon(boost::asio::io_context &Context, VmState &State);

  void start();

private:
  asynckit::awaitable<void> acceptCallers();
  asynckit::awaitable<void> tickRegularly();
  asynckit::awaitable<void> enlist();
  asynckit::awaitable<void> awaitSignals();
  asynckit::awaitable<void> stop();
  PlainAnswer answerReadiness(const std::string &Path) const;
  PlainAnswer answerDirectory(const std::string &Path, const Query &Parameters);
  PlainAnswer answerMetrics(const std::string &Path);
  void changeVmTable(const std::vector<store::Row> &Rows);
  void tick();
  void closeIdleSessions();

  boost::asio::io_context &Context_;
  VmState &State_;
  DispatchDesk Desk_;
  Knowledge Knowledge_;
  PeerExchange Peers_;
  QuotaKeeper Quota_;
  TokenDesk Tokens_;
  TableFollower VmTable_;
  PlainServer Readiness_;
  PlainServer Directory_;
  PlainServer Metrics_;
  boost::asio::ip::tcp::acceptor Callers_;
  boost::asio::signal_set Signals_;
  boost::intrusive::list<CallerSession,
                         boost::intrusive::constant_time_size<false>>
      Sessions_;
  base::TimePoint Expired_{};
};

} // namespace ebony::vm

#endif
