#include "vm/vmdaemon.h"

#include "vm/quotaplancodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <malloc.h>

#include <algorithm>
#include <csignal>
#include <sstream>

namespace ebony::vm {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asynckit::awaitable;
using asynckit::error_code;
using asynckit::into;
using store::StoreStatus;
using telemetry::EventLine;

// Resolution of timeouts and of decisions about waiting requests.
constexpr base::Duration TickInterval = std::chrono::milliseconds(25);

// Interval at which the VM checks whether it is isolated.
constexpr base::Duration IsolationInterval = std::chrono::milliseconds(100);

// Interval of tasks that need no precision: expiry of upstreams and of idle
// connections, metrics.
constexpr base::Duration SlowTickInterval = std::chrono::milliseconds(250);

// Time for which callers may cache a directory response.
constexpr base::Duration DirectoryLifetime = std::chrono::seconds(2);

// Length of the queue of connections to be accepted.
constexpr int Backlog = 1024;

constexpr base::Duration AcceptRetryDelay = std::chrono::milliseconds(50);
constexpr base::Duration RegistrationRetryDelay =
    std::chrono::milliseconds(500);

// Time before the end of the grace period at which the process exits.
constexpr base::Duration StopMargin = std::chrono::milliseconds(300);

// Time before the exit by which responses must have arrived from upstreams, so
// that they, or refusals in their place, can be sent to the callers.
constexpr base::Duration AnswerMargin = std::chrono::milliseconds(200);

// Time after SIGTERM for which new connections are still served: callers may
// use a cached directory response that names this VM for this long.
constexpr base::Duration LeavingDuration = std::chrono::milliseconds(2500);

// Connections at the ports that only the platform uses.
constexpr std::size_t MaxPlatformConnections = 16;

void listen(tcp::acceptor &Acceptor, const tcp::endpoint &Endpoint) {
  Acceptor.open(Endpoint.protocol());
  Acceptor.set_option(tcp::acceptor::reuse_address(true));
  // Accepted sockets inherit the size.
  Acceptor.set_option(
      asio::socket_base::receive_buffer_size(CallerInput::ReceiveBufferBytes));
  Acceptor.bind(Endpoint);
  Acceptor.listen(Backlog);
}

} // namespace

VmDaemon::VmDaemon(asio::io_context &Context, VmState &State)
    : Context_(Context), State_(State), AsyncDispatcher_(State),
      Synchronizer_(State), Messenger_(State), QuotaPlanUpdater_(State),
      Admission_(State,
                 [this](const std::string &Vm, const peers::TokenAsk &Ask) {
                   Messenger_.sendTokenAsk(Vm, Ask);
                 }),
      Prober_(State, base::RandomEngine(
                         static_cast<std::uint64_t>(State.Incarnation_))),
      VmTableFollower_(State, VmTableName, trustedPace(State.Bounds_),
                       {[this](const std::vector<store::Row> &Rows) {
                          Messenger_.replaceRows({});
                          QuotaPlanUpdater_.forgetRow();
                          applyVmTableChanges(Rows);
                        },
                        [this](const std::vector<store::Row> &Rows) {
                          applyVmTableChanges(Rows);
                        },
                        [this](base::TimePoint ReadStarted) {
                          State_.PlanTrust_.confirm(ReadStarted);
                        },
                        nullptr,
                        [this] {
                          // The copy may lack this VM's row.
                          asio::co_spawn(Context_, registerVm(),
                                         asio::detached);
                        }}),
      ReadinessServer_(
          State, State.Settings_.Readiness_, new base::HolderCount,
          [this] { limitPlatformConnections(ReadinessServer_); },
          [this](const std::string &Path, const QueryParameters &) {
            return answerReadiness(Path);
          }),
      DirectoryServer_(
          State, State.Settings_.Directory_, State.DirectoryConnections_,
          [this] { makeRoomForConnection(); },
          [this](const std::string &Path, const QueryParameters &Parameters) {
            return answerDirectory(Path, Parameters);
          }),
      MetricsServer_(
          State, State.Settings_.Metrics_, new base::HolderCount,
          [this] { limitPlatformConnections(MetricsServer_); },
          [this](const std::string &Path, const QueryParameters &) {
            return answerMetrics(Path);
          }),
      CallerAcceptor_(Context), PeerAcceptor_(Context),
      Signals_(Context, SIGTERM, SIGINT, SIGHUP) {
  State_.MakeRoomForConnection_ = [this] { makeRoomForConnection(); };
  Messenger_.setTokenHandlers(
      [this](const peers::TokenAsk &Ask) { return Admission_.answerAsk(Ask); },
      [this](const peers::TokenAnswer &Answer) {
        Admission_.receiveAnswer(Answer);
      });
  listen(CallerAcceptor_, State.Settings_.Callers_);
  listen(PeerAcceptor_,
         {State.Settings_.Callers_.address(), State.Settings_.PeerPort_});
}

void VmDaemon::start() {
  State_.log(EventLine("start")
                 .add("zone", State_.Settings_.Zone_.text())
                 .add("region", State_.Settings_.Region_.text())
                 .add("incarnation", State_.Incarnation_));
  Synchronizer_.start();
  Messenger_.start();
  QuotaPlanUpdater_.start();
  ReadinessServer_.start();
  DirectoryServer_.start();
  MetricsServer_.start();
  asio::co_spawn(Context_, VmTableFollower_.run(), asio::detached);
  asio::co_spawn(Context_,
                 acceptSessions(CallerAcceptor_, RequestOrigin::Caller),
                 asio::detached);
  asio::co_spawn(Context_, acceptSessions(PeerAcceptor_, RequestOrigin::Peer),
                 asio::detached);
  asio::co_spawn(Context_, runTicks(), asio::detached);
  asio::co_spawn(Context_, registerVm(), asio::detached);
  asio::co_spawn(Context_, awaitSignals(), asio::detached);
}

void VmDaemon::applyVmTableChanges(const std::vector<store::Row> &Rows) {
  std::vector<store::Row> Vms;
  for (const store::Row &Row : Rows) {
    if (Row.Key_ == QuotaPlanUpdater::rowKey())
      QuotaPlanUpdater_.applyRow(Row);
    else
      Vms.push_back(Row);
  }
  Messenger_.applyRows(Vms);
  QuotaPlanUpdater_.markTableRead();
  // The other VMs activate a new plan only when this VM has reported it.
  Messenger_.sendReports();
}

awaitable<void> VmDaemon::acceptSessions(tcp::acceptor &Acceptor,
                                         RequestOrigin Origin) {
  for (;;) {
    error_code Error;
    tcp::socket Socket = co_await Acceptor.async_accept(into(Error));
    if (Error == asio::error::operation_aborted)
      co_return;
    if (Error) {
      State_.log(EventLine("accept-failed").add("error", Error.message()));
      asio::steady_timer Pause(Context_, AcceptRetryDelay);
      co_await Pause.async_wait(into(Error));
      continue;
    }
    if (Origin == RequestOrigin::Peer && !Messenger_.isPeer(Socket)) {
      State_.log(EventLine("peer-connection-rejected"));
      continue;
    }
    if (!makeRoomForConnection()) {
      State_.Metrics_.RefusedConnections_.add();
      continue;
    }
    const auto Session = std::make_shared<CallerSession>(
        State_, AsyncDispatcher_, Admission_, Origin, std::move(Socket));
    Sessions_.push_back(*Session);
    asio::co_spawn(Context_, CallerSession::run(Session), asio::detached);
  }
}

// The kind of connections that takes more than its part makes room.
bool VmDaemon::makeRoomForConnection() {
  const VmSettings &Settings = State_.Settings_;
  if (State_.openConnections() < Settings.maxConnections())
    return true;
  if (State_.DirectoryConnections_->value() > Settings.directoryConnections()) {
    DirectoryServer_.closeLeastActive();
    return true;
  }
  CallerSession *Least = base::findLeastActive(Sessions_);
  if (Least &&
      State_.CallerConnections_->value() > Settings.callerConnections()) {
    State_.Metrics_.ClosedConnections_.add();
    // It is unlinked here, since its coroutines end later.
    Least->unlink();
    Least->endForOthers();
    return true;
  }
  State_.Connections_.closeIdle();
  State_.PeerConnections_.closeIdle();
  return State_.openConnections() < Settings.maxConnections();
}

void VmDaemon::limitPlatformConnections(SimpleHttpServer &Server) {
  if (Server.connectionCount() >= MaxPlatformConnections)
    Server.closeLeastActive();
}

// One line for each interval in which callers were refused or closed.
void VmDaemon::logCallerLimits() {
  const CallerMemory &Memory = *State_.CallerMemory_;
  const CallerLimitCounts Counts{Memory.evictions(), Memory.refusals(),
                                 State_.Metrics_.ClosedConnections_.value(),
                                 State_.Metrics_.RefusedConnections_.value()};
  State_.Metrics_.CallerMemoryBytes_.set(
      static_cast<std::int64_t>(Memory.used()));
  if (Counts != LoggedCounts_)
    State_.log(
        EventLine("caller-limits")
            .add("memory_kb", static_cast<std::int64_t>(Memory.used() / 1024))
            .add("memory_limit_kb",
                 static_cast<std::int64_t>(Memory.capacity() / 1024))
            .add("connections", static_cast<std::int64_t>(Sessions_.size()))
            .add("evicted", Counts.Evicted_ - LoggedCounts_.Evicted_)
            .add("no_room", Counts.Refused_ - LoggedCounts_.Refused_)
            .add("closed", Counts.Closed_ - LoggedCounts_.Closed_)
            .add("connections_refused", Counts.RefusedConnections_ -
                                            LoggedCounts_.RefusedConnections_));
  else if (WereCallersLimited_)
    // Returns what the crowd has freed to the system.
    malloc_trim(0);
  WereCallersLimited_ = Counts != LoggedCounts_;
  LoggedCounts_ = Counts;
}

awaitable<void> VmDaemon::runTicks() {
  asio::steady_timer Timer(Context_);
  for (;;) {
    Timer.expires_after(TickInterval);
    error_code Ignored; // The timer is never cancelled.
    co_await Timer.async_wait(into(Ignored));
    tick();
  }
}

void VmDaemon::tick() {
  const base::TimePoint Now = State_.now();
  State_.Deadlines_.tick(Now);
  AsyncDispatcher_.poll();
  Prober_.tick();
  Messenger_.sendDueReports();
  if (Now - LastIsolationUpdate_ >= IsolationInterval) {
    LastIsolationUpdate_ = Now;
    State_.updateIsolation();
  }
  if (Now - LastSlowTick_ < SlowTickInterval)
    return;
  LastSlowTick_ = Now;
  State_.Upstreams_.expire(Now);
  State_.Crashes_.expire(Now);
  State_.logBlamedRequests("by", "expiry");
  State_.Connections_.expire(Now);
  State_.PeerConnections_.expire(Now);
  const std::vector<std::string> Vms = State_.Members_.liveNames(Now);
  logSilentVms(Vms);
  State_.updateFleetView();
  State_.Quota_.activatePlan(State_.Members_, Now);
  State_.Dispatcher_.balanceRegions(Now);
  State_.Metrics_.LiveVms_.set(static_cast<std::int64_t>(Vms.size()));
  State_.Metrics_.ConfigurationAgeMs_.set(State_.KeyTrust_.age(Now).count() /
                                          1000);
  State_.Metrics_.StoreNewsAgeMs_.set(State_.StoreNews_.age(Now).count() /
                                      1000);
  State_.Metrics_.WaitingRequests_.set(
      static_cast<std::int64_t>(State_.Dispatcher_.waitingCount()));
  State_.Metrics_.LimitedUpstreams_.set(State_.Upstreams_.limitedCount());
  State_.Metrics_.ColdUpstreams_.set(State_.Upstreams_.coldCount(Now));
  State_.Metrics_.DroppedLines_.set(State_.Log_.dropped());
  logCallerLimits();
  State_.Log_.flush();
}

void VmDaemon::logSilentVms(const std::vector<std::string> &LiveVms) {
  std::vector<std::string> Silent;
  std::set_difference(LiveVms_.begin(), LiveVms_.end(), LiveVms.begin(),
                      LiveVms.end(), std::back_inserter(Silent));
  for (const std::string &Name : Silent)
    State_.log(EventLine("vm-silent")
                   .add("name", Name)
                   .add("live", static_cast<std::int64_t>(LiveVms.size())));
  LiveVms_ = LiveVms;
}

// Registers this VM in the store, so that the other VMs find it.
awaitable<void> VmDaemon::registerVm() {
  const std::unique_ptr<store::RowStore> Store = State_.Platform_.MakeStore_();
  const std::string Address = State_.Settings_.Callers_.address().to_string();
  for (;;) {
    const StoreStatus Status = co_await Store->write(
        VmTableName, State_.Settings_.Name_, Address, std::nullopt);
    State_.log(EventLine("enlisted").add("status", store::toText(Status)));
    if (Status == StoreStatus::Done)
      co_return;
    asio::steady_timer Pause(Context_, RegistrationRetryDelay);
    error_code Ignored; // The timer is never cancelled.
    co_await Pause.async_wait(into(Ignored));
  }
}

awaitable<void> VmDaemon::awaitSignals() {
  for (;;) {
    error_code Error;
    const int Signal = co_await Signals_.async_wait(into(Error));
    if (Error)
      co_return;
    if (Signal == SIGHUP) {
      // SIGHUP is only logged: addresses and zone are fixed for the life of the
      // process, and no other setting is reloaded.
      State_.log(EventLine("reload"));
      continue;
    }
    State_.log(EventLine("stop").add("signal", Signal));
    co_await stop();
    co_return;
  }
}

awaitable<void> VmDaemon::stop() {
  const base::TimePoint StopStarted = State_.now();
  const base::TimePoint End =
      StopStarted + State_.Bounds_.StopGrace_ - StopMargin;
  State_.IsStopping_ = true;
  State_.Dispatcher_.setStopDeadline(End - AnswerMargin);
  Messenger_.sendReports();
  asio::steady_timer Timer(Context_);
  error_code Ignored; // The timer is never cancelled.
  while (State_.now() < End) {
    Timer.expires_after(SlowTickInterval);
    co_await Timer.async_wait(into(Ignored));
    if (State_.now() - StopStarted < LeavingDuration)
      continue;
    // Refuses requests that arrive now, since they might not be finished in
    // time.
    State_.RefusesNewRequests_ = true;
    CallerAcceptor_.close(Ignored);
    PeerAcceptor_.close(Ignored);
    closeIdleSessions();
    if (Sessions_.empty())
      break;
  }
  State_.log(
      EventLine("stopped")
          .add("open_connections", static_cast<std::int64_t>(std::distance(
                                       Sessions_.begin(), Sessions_.end())))
          .add("waiting_requests",
               static_cast<std::int64_t>(State_.Dispatcher_.waitingCount())));
  State_.Log_.flush();
  Context_.stop();
}

void VmDaemon::closeIdleSessions() {
  for (CallerSession &Session : Sessions_)
    if (Session.isIdle())
      Session.close();
}

SimpleHttpResponse VmDaemon::answerReadiness(const std::string &Path) const {
  if (Path != State_.Platform_.ReadinessPath_)
    return {404, "text/plain", "Unknown path."};
  if (State_.isReady())
    return {200, "text/plain", "ready"};
  return {503, "text/plain", "not ready"};
}

SimpleHttpResponse
VmDaemon::answerDirectory(const std::string &Path,
                          const QueryParameters &Parameters) {
  if (Path != State_.Platform_.DirectoryPath_)
    return {404, "text/plain", "Unknown path."};
  const auto Region = Parameters.find("region");
  const std::vector<std::string> Addresses = State_.Directory_.resolve(
      base::RegionName(Region == Parameters.end() ? "" : Region->second),
      State_.ownReport(), State_.Members_, State_.now());
  if (Addresses.empty())
    return {503, "text/plain", "No entry VM is ready."};
  const base::Duration Lifetime =
      std::min(DirectoryLifetime, State_.Bounds_.DirectoryLifetime_);
  return {200, "application/json",
          State_.Platform_.EncodeDirectory_(
              Addresses, static_cast<int>(Lifetime.count() / 1'000'000))};
}

SimpleHttpResponse VmDaemon::answerMetrics(const std::string &Path) {
  if (Path != "/metrics")
    return {404, "text/plain", "Unknown path."};
  std::ostringstream Text;
  State_.Metrics_.registry().writeTo(Text);
  return {200, "text/plain; version=0.0.4", Text.str()};
}

} // namespace ebony::vm
