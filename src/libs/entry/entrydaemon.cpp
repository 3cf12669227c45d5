#include "entry/entrydaemon.h"

#include "base/steadyclock.h"
#include "entry/equalshareadmission.h"
#include "entry/requestpipeline.h"
#include "fleet/agentfollower.h"
#include "fleet/incarnation.h"
#include "httpkit/adminhandler.h"
#include "httpkit/httpserver.h"

#include <glog/logging.h>

namespace ebony::entry {

namespace {

constexpr base::Duration RefreshInterval = std::chrono::milliseconds(200);
constexpr base::Duration ConnectTimeout = std::chrono::milliseconds(500);
constexpr std::size_t MaxIdlePerPeer = 16;
constexpr std::size_t MaxAdminConnections = 8;
constexpr std::size_t LoggedChanges = 16;

trust::FreshnessSettings freshnessOf(const EntrySettings &Settings) {
  trust::FreshnessSettings Freshness;
  Freshness.StalenessLimit_ = Settings.KeyStaleness_;
  return Freshness;
}

} // namespace

class EntryDaemon::Implementation {
public:
  explicit Implementation(const EntrySettings &Settings)
      : OwnVm_(base::VmAddress(Settings.Address_), fleet::newIncarnation(),
               Settings.Zone_),
        History_(static_cast<std::size_t>(Settings.DecisionHistory_)),
        Decisions_(History_), State_(freshnessOf(Settings), LoggedChanges),
        Admission_(State_, Clock_.now()), IdGenerator_(OwnVm_),
        Validator_(State_, Clock_, Admission_, IdGenerator_),
        Dispatcher_(State_, Clock_, OwnVm_,
                    static_cast<std::size_t>(Settings.MaxWaitingPerCustomer_),
                    static_cast<std::uint64_t>(OwnVm_.incarnation())),
        Connections_(Settings.Address_, MaxIdlePerPeer, ConnectTimeout),
        Forwarder_(Connections_, Clock_),
        RelaySelector_(State_, OwnVm_, Settings.RelayPort_),
        Pipeline_(Validator_, Dispatcher_, Forwarder_, RelaySelector_, Clock_,
                  Decisions_, Metrics_),
        Admin_(Metrics_, History_, [this] { return State_.isReady(); }),
        Follower_(State_, Clock_, OwnVm_, wire::FollowerRole::ENTRY,
                  Settings.AgentPort_),
        RefreshThread_(RefreshInterval, [this] { Dispatcher_.refresh(); }),
        AdminServer_("admin", {Settings.Address_, Settings.AdminPort_},
                     MaxAdminConnections, Metrics_,
                     [this](auto &Request, auto &Response) {
                       if (!Admin_.answer(Request, Response))
                         httpkit::sendProblem(Response,
                                              {404, httpkit::Outcome::NotRun,
                                               "no-page",
                                               "Use /healthz, /readyz, "
                                               "/metrics, /log-level or "
                                               "/decisions.",
                                               std::nullopt});
                     }),
        EntryServer_("entry", {Settings.Address_, Settings.EntryPort_},
                     static_cast<std::size_t>(Settings.MaxConnections_),
                     Metrics_,
                     [this](auto &Request, auto &Response) {
                       Pipeline_.handleCallerRequest(Request, Response);
                     }),
        RelayServer_("relay", {Settings.Address_, Settings.RelayPort_},
                     static_cast<std::size_t>(Settings.MaxConnections_),
                     Metrics_, [this](auto &Request, auto &Response) {
                       Pipeline_.handleRelayedRequest(Request, Response);
                     }) {}

  void start() {
    Follower_.start();
    RefreshThread_.start();
    AdminServer_.start();
    RelayServer_.start();
    EntryServer_.start();
    LOG(INFO) << "entryd started address=" << OwnVm_.address().text()
              << " zone=" << OwnVm_.zone().text()
              << " incarnation=" << OwnVm_.incarnation();
  }

  void stop(int TimeoutSeconds) {
    Pipeline_.beginStop();
    EntryServer_.stopGracefully(TimeoutSeconds);
    RelayServer_.stopGracefully(TimeoutSeconds);
    RefreshThread_.stop();
    Follower_.stop();
    AdminServer_.stopGracefully(1);
    LOG(INFO) << "entryd stopped";
  }

private:
  base::SteadyClock Clock_;
  base::VmIdentity OwnVm_;
  telemetry::MetricsRegistry Metrics_;
  telemetry::DecisionHistory History_;
  telemetry::DecisionLog Decisions_;
  fleet::FleetState State_;
  EqualShareAdmission Admission_;
  RequestIdGenerator IdGenerator_;
  RequestValidator Validator_;
  Dispatcher Dispatcher_;
  ConnectionPool Connections_;
  Forwarder Forwarder_;
  RelaySelector RelaySelector_;
  RequestPipeline Pipeline_;
  httpkit::AdminHandler Admin_;
  fleet::AgentFollower Follower_;
  fleet::PeriodicThread RefreshThread_;
  httpkit::HttpServer AdminServer_;
  httpkit::HttpServer EntryServer_;
  httpkit::HttpServer RelayServer_;
};

EntryDaemon::EntryDaemon(const EntrySettings &Settings)
    : Settings_(Settings),
      Implementation_(std::make_unique<Implementation>(Settings)) {}

EntryDaemon::~EntryDaemon() = default;

void EntryDaemon::start() { Implementation_->start(); }

void EntryDaemon::stop() {
  Implementation_->stop(static_cast<int>(
      std::chrono::ceil<std::chrono::seconds>(Settings_.StopTimeout_).count()));
}

} // namespace ebony::entry
