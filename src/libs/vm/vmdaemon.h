#ifndef EBONY_VM_VMDAEMON_H
#define EBONY_VM_VMDAEMON_H

#include "vm/callersession.h"
#include "vm/peermessenger.h"
#include "vm/quotaadmission.h"
#include "vm/quotaplanupdater.h"
#include "vm/reachabilityprober.h"
#include "vm/simplehttpserver.h"
#include "vm/statesynchronizer.h"

#include <boost/asio/signal_set.hpp>

namespace ebony::vm {

/// The process of an entry VM: serves callers and the directory, follows the
/// store, and exchanges messages with the other VMs.
class VmDaemon {
public:
  VmDaemon(boost::asio::io_context &Context, VmState &State);

  void start();

private:
  /// Serves the connections of callers, or of VMs that relay requests.
  asynckit::awaitable<void>
  acceptSessions(boost::asio::ip::tcp::acceptor &Acceptor,
                 RequestOrigin Origin);
  asynckit::awaitable<void> runTicks();
  asynckit::awaitable<void> registerVm();
  asynckit::awaitable<void> awaitSignals();
  asynckit::awaitable<void> stop();
  SimpleHttpResponse answerReadiness(const std::string &Path) const;
  SimpleHttpResponse answerDirectory(const std::string &Path,
                                     const QueryParameters &Parameters);
  SimpleHttpResponse answerMetrics(const std::string &Path);
  void applyVmTableChanges(const std::vector<store::Row> &Rows);
  void tick();
  /// Logs the VMs that are no longer live since the last call.
  void logSilentVms(const std::vector<std::string> &LiveVms);
  void closeIdleSessions();
  /// Closes a connection if there are too many for another one. Returns false
  /// if there is none to be closed.
  bool makeRoomForConnection();
  /// Closes a connection of \p Server if there are too many for another one.
  static void limitPlatformConnections(SimpleHttpServer &Server);
  /// Logs that callers were refused or closed since the last call.
  void logCallerLimits();

  /// Numbers of callers that were refused or closed so far.
  struct CallerLimitCounts {
    std::int64_t Evicted_ = 0;
    std::int64_t Refused_ = 0;
    std::int64_t Closed_ = 0;
    std::int64_t RefusedConnections_ = 0;

    friend bool operator==(const CallerLimitCounts &,
                           const CallerLimitCounts &) = default;
  };

  boost::asio::io_context &Context_;
  VmState &State_;
  AsyncDispatcher AsyncDispatcher_;
  StateSynchronizer Synchronizer_;
  PeerMessenger Messenger_;
  QuotaPlanUpdater QuotaPlanUpdater_;
  QuotaAdmission Admission_;
  ReachabilityProber Prober_;
  TableFollower VmTableFollower_;
  SimpleHttpServer ReadinessServer_;
  SimpleHttpServer DirectoryServer_;
  SimpleHttpServer MetricsServer_;
  boost::asio::ip::tcp::acceptor CallerAcceptor_;
  boost::asio::ip::tcp::acceptor PeerAcceptor_;
  boost::asio::signal_set Signals_;
  boost::intrusive::list<CallerSession,
                         boost::intrusive::constant_time_size<false>>
      Sessions_;
  CallerLimitCounts LoggedCounts_;
  bool WereCallersLimited_ = false;
  base::TimePoint LastIsolationUpdate_{};
  base::TimePoint LastSlowTick_{};
  /// Live VMs at the last slow tick, sorted.
  std::vector<std::string> LiveVms_;
};

} // namespace ebony::vm

#endif
