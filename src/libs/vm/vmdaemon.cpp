#include "vm/vmdaemon.h"

#include "vm/quotaplantext.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

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

// Precision of time-outs and of decisions about waiting requests.
constexpr base::Duration TickGap = std::chrono::milliseconds(25);

// Time between looks at slower matters: lapsed entries, idle connections.
constexpr base::Duration SlowTickGap = std::chrono::milliseconds(250);

// Time for which callers keep a directory answer.
constexpr base::Duration DirectoryLifetime = std::chrono::seconds(2);

// Connections that may wait to be accepted.
constexpr int Backlog = 1024;

constexpr base::Duration AcceptPause = std::chrono::milliseconds(50);
constexpr base::Duration EnlistPause = std::chrono::milliseconds(500);

// Time before the end of the grace period at which the process ends.
constexpr base::Duration StopMargin = std::chrono::milliseconds(300);

// Time after SIGTERM for which new connections are still served: callers keep
// a directory answer this long.
constexpr base::Duration LeavingSpan = std::chrono::milliseconds(2500);

} // namespace

VmDaemon::VmDaemon(asio::io_context &Context, VmState &State)
    : Context_(Context), State_(State), Desk_(State), Knowledge_(State),
      Peers_(State), Quota_(State),
      Tokens_(State,
              [this](const std::string &Vm, const peers::TokenAsk &Ask) {
                Peers_.ask(Vm, Ask);
              }),
      VmTable_(
          State, VmTableName, trustedPace(State.Bounds_),
          {[this](const std::vector<store::Row> &Rows) {
             Peers_.replaceRows({});
             changeVmTable(Rows);
           },
           [this](const std::vector<store::Row> &Rows) { changeVmTable(Rows); },
           [this](base::TimePoint Asked) { State_.PlanTrust_.confirm(Asked); },
           nullptr}),
      Readiness_(State, State.Settings_.Readiness_,
                 [this](const std::string &Path, const Query &) {
                   return answerReadiness(Path);
                 }),
      Directory_(State, State.Settings_.Directory_,
                 [this](const std::string &Path, const Query &Parameters) {
                   return answerDirectory(Path, Parameters);
                 }),
      Metrics_(State, State.Settings_.Metrics_,
               [this](const std::string &Path, const Query &) {
                 return answerMetrics(Path);
               }),
      Callers_(Context), Signals_(Context, SIGTERM, SIGINT, SIGHUP) {
  Peers_.setTokenTakers(
      [this](const peers::TokenAsk &Ask) { return Tokens_.answer(Ask); },
      [this](const peers::TokenAnswer &Answer) { Tokens_.takeAnswer(Answer); });
  Callers_.open(State.Settings_.Callers_.protocol());
  Callers_.set_option(tcp::acceptor::reuse_address(true));
  Callers_.bind(State.Settings_.Callers_);
  Callers_.listen(Backlog);
}

void VmDaemon::start() {
  State_.log(EventLine("start")
                 .add("zone", State_.Settings_.Zone_.text())
                 .add("region", State_.Settings_.Region_.text())
                 .add("incarnation", State_.Incarnation_));
  Knowledge_.start();
  Peers_.start();
  Quota_.start();
  Readiness_.start();
  Directory_.start();
  Metrics_.start();
  asio::co_spawn(Context_, VmTable_.run(), asio::detached);
  asio::co_spawn(Context_, acceptCallers(), asio::detached);
  asio::co_spawn(Context_, tickRegularly(), asio::detached);
  asio::co_spawn(Context_, enlist(), asio::detached);
  asio::co_spawn(Context_, awaitSignals(), asio::detached);
}

void VmDaemon::changeVmTable(const std::vector<store::Row> &Rows) {
  std::vector<store::Row> Vms;
  for (const store::Row &Row : Rows) {
    if (Row.Key_ == QuotaKeeper::rowKey())
      Quota_.takeRow(Row);
    else
      Vms.push_back(Row);
  }
  Peers_.changeRows(Vms);
  Quota_.noteTableRead();
  // Others wait for this VM to take up a new plan.
  Peers_.sendReports();
}

awaitable<void> VmDaemon::acceptCallers() {
  for (;;) {
    error_code Error;
    tcp::socket Socket = co_await Callers_.async_accept(into(Error));
    if (Error == asio::error::operation_aborted)
      co_return;
    if (Error) {
      State_.log(EventLine("accept-failed").add("error", Error.message()));
      asio::steady_timer Pause(Context_, AcceptPause);
      co_await Pause.async_wait(into(Error));
      continue;
    }
    const auto Session = std::make_shared<CallerSession>(State_, Desk_, Tokens_,
                                                         std::move(Socket));
    Sessions_.push_back(*Session);
    asio::co_spawn(Context_, CallerSession::run(Session), asio::detached);
  }
}

awaitable<void> VmDaemon::tickRegularly() {
  asio::steady_timer Timer(Context_);
  for (;;) {
    Timer.expires_after(TickGap);
    error_code Ignored; // The timer is never cancelled.
    co_await Timer.async_wait(into(Ignored));
    tick();
  }
}

void VmDaemon::tick() {
  const base::TimePoint Now = State_.now();
  State_.Deadlines_.tick(Now);
  Desk_.poll();
  if (Now - Expired_ < SlowTickGap)
    return;
  Expired_ = Now;
  State_.Upstreams_.expire(Now);
  State_.Links_.expire(Now);
  const std::vector<std::string> Vms = State_.Members_.liveNames(Now);
  State_.ColdGate_.setVms(Vms);
  State_.Budget_.setVmCount(Vms.size());
  State_.Quota_.activatePlan(State_.Members_, Now);
  State_.Upstreams_.setInFlightElsewhere(
      State_.Members_.inFlightElsewhere(Now));
  State_.Metrics_.LiveVms_.set(static_cast<std::int64_t>(Vms.size()));
  State_.Metrics_.StoreAgeMs_.set(State_.KeyTrust_.age(Now).count() / 1000);
  State_.Metrics_.Waiting_.set(
      static_cast<std::int64_t>(State_.Dispatcher_.waitingCount()));
  State_.Metrics_.DroppedLines_.set(State_.Log_.dropped());
  State_.Log_.flush();
}

// Lists this VM, so that the others find it.
awaitable<void> VmDaemon::enlist() {
  const std::unique_ptr<store::RowStore> Store = State_.Platform_.MakeStore_();
  const std::string Address = State_.Settings_.Callers_.address().to_string();
  for (;;) {
    const StoreStatus Status = co_await Store->write(
        VmTableName, State_.Settings_.Name_, Address, std::nullopt);
    State_.log(EventLine("enlisted").add("status", store::toText(Status)));
    if (Status == StoreStatus::Done)
      co_return;
    asio::steady_timer Pause(Context_, EnlistPause);
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
      // Addresses and zone hold for the life of the process; nothing else in
      // the settings is taken up later.
      State_.log(EventLine("reload"));
      continue;
    }
    State_.log(EventLine("stop").add("signal", Signal));
    co_await stop();
    co_return;
  }
}

awaitable<void> VmDaemon::stop() {
  const base::TimePoint Began = State_.now();
  const base::TimePoint End = Began + State_.Bounds_.StopGrace_ - StopMargin;
  State_.IsStopping_ = true;
  Peers_.sendReports();
  asio::steady_timer Timer(Context_);
  error_code Ignored; // The timer is never cancelled.
  while (State_.now() < End) {
    Timer.expires_after(SlowTickGap);
    co_await Timer.async_wait(into(Ignored));
    if (State_.now() - Began < LeavingSpan)
      continue;
    // What comes now could not be finished for sure.
    State_.RefusesNew_ = true;
    Callers_.close(Ignored);
    closeIdleSessions();
    if (Sessions_.empty())
      break;
  }
  State_.log(EventLine("stopped").add(
      "open_connections", static_cast<std::int64_t>(std::distance(
                              Sessions_.begin(), Sessions_.end()))));
  State_.Log_.flush();
  Context_.stop();
}

void VmDaemon::closeIdleSessions() {
  for (CallerSession &Session : Sessions_)
    if (Session.isIdle())
      Session.close();
}

PlainAnswer VmDaemon::answerReadiness(const std::string &Path) const {
  if (Path != State_.Platform_.ReadinessPath_)
    return {404, "text/plain", "Unknown path."};
  if (State_.isReady())
    return {200, "text/plain", "ready"};
  return {503, "text/plain", "not ready"};
}

PlainAnswer VmDaemon::answerDirectory(const std::string &Path,
                                      const Query &Parameters) {
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

PlainAnswer VmDaemon::answerMetrics(const std::string &Path) {
  if (Path != "/metrics")
    return {404, "text/plain", "Unknown path."};
  std::ostringstream Text;
  State_.Metrics_.registry().writeTo(Text);
  return {200, "text/plain; version=0.0.4", Text.str()};
}

} // namespace ebony::vm
