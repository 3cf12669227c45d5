#include "agent/agentdaemon.h"

#include "agent/agenthandler.h"
#include "agent/operatorapi.h"
#include "agent/tablereader.h"
#include "agent/vmdirectory.h"
#include "base/steadyclock.h"
#include "fleet/incarnation.h"
#include "fleet/periodicthread.h"
#include "httpkit/adminhandler.h"
#include "httpkit/httpserver.h"
#include "httpkit/problem.h"
#include "wire/wireserver.h"

#include <glog/logging.h>

namespace ebony::agent {

namespace {

constexpr std::size_t ChangeLogCapacity = 1024;
constexpr std::size_t MaxOperatorConnections = 16;
constexpr std::size_t MaxWireConnections = 128;
constexpr std::size_t DecisionHistoryCapacity = 64;
constexpr base::Duration PlatformTimeout = std::chrono::seconds(2);
constexpr base::Duration VmListInterval = std::chrono::seconds(1);
constexpr int GracefulStopSeconds = 10;

trust::FreshnessSettings makeFreshnessSettings(const AgentSettings &Settings) {
  trust::FreshnessSettings Freshness;
  Freshness.StalenessLimit_ = Settings.KeyStaleness_;
  return Freshness;
}

} // namespace

class AgentDaemon::Impl {
public:
  explicit Impl(const AgentSettings &Settings)
      : Settings_(Settings),
        OwnIdentity_(base::VmAddress(Settings.Address_),
                     fleet::newIncarnation(), Settings.Zone_),
        History_(DecisionHistoryCapacity),
        State_(makeFreshnessSettings(Settings), ChangeLogCapacity),
        Platform_(httpkit::HttpClient(
            {Settings.PlatformHost_, Settings.PlatformPort_}, Settings.Address_,
            PlatformTimeout)),
        Store_(Platform_, Platform_),
        Reader_(State_, Store_, Clock_, Settings.PollInterval_),
        Directory_(State_, Platform_), Daemons_(Clock_),
        Submitter_(State_, Store_, Clock_),
        RolloutMonitor_(State_, Clock_, Settings.AgentPort_),
        OperatorApi_(Settings_, State_, Submitter_, RolloutMonitor_),
        Admin_(Metrics_, History_, [this] { return isReady(); }),
        TableThread_(Settings.PollInterval_, [this] { pollTable(); }),
        VmListThread_(VmListInterval, [this] { Directory_.poll(); }),
        Handler_(std::make_shared<AgentHandler>(
            OwnIdentity_, Settings.AgentPort_, State_, Daemons_, Clock_,
            [this] { TableThread_.wake(); })),
        AgentServer_({Settings.Address_, Settings.AgentPort_},
                     std::make_shared<wire::AgentProcessor>(Handler_),
                     MaxWireConnections),
        OperatorServer_("operator", {Settings.Address_, Settings.OperatorPort_},
                        MaxOperatorConnections, Metrics_,
                        [this](auto &Request, auto &Response) {
                          answer(Request, Response);
                        }) {}

  void start() {
    AgentServer_.start();
    TableThread_.start();
    VmListThread_.start();
    OperatorServer_.start();
    LOG(INFO) << "agentd started address=" << Settings_.Address_
              << " zone=" << Settings_.Zone_.text();
  }

  void stop() {
    OperatorServer_.stopGracefully(GracefulStopSeconds);
    VmListThread_.stop();
    TableThread_.stop();
    AgentServer_.stop();
    LOG(INFO) << "agentd stopped";
  }

private:
  bool isReady() const {
    return State_.isReady() && !State_.members()->all().empty();
  }

  void pollTable() {
    Reader_.poll();
    Metrics_
        .counter("ebony_configuration_revision",
                 "Revision of the configuration in force.", "",
                 telemetry::CounterKind::Gauge)
        .set(State_.revision());
  }

  void answer(Poco::Net::HTTPServerRequest &Request,
              Poco::Net::HTTPServerResponse &Response) {
    if (OperatorApi_.answer(Request, Response) ||
        Admin_.answer(Request, Response))
      return;
    Response.setKeepAlive(false);
    httpkit::sendProblem(Response, {404, httpkit::Outcome::NotRun, "no-page",
                                    "Use a path of the operators' interface.",
                                    std::nullopt});
  }

  AgentSettings Settings_;
  base::SteadyClock Clock_;
  base::VmIdentity OwnIdentity_;
  telemetry::MetricsRegistry Metrics_;
  telemetry::DecisionHistory History_;
  fleet::FleetState State_;
  platform::PlatformClient Platform_;
  config::StoreClient Store_;
  TableReader Reader_;
  VmDirectory Directory_;
  LocalDaemons Daemons_;
  ChangeSubmitter Submitter_;
  RolloutMonitor RolloutMonitor_;
  OperatorApi OperatorApi_;
  httpkit::AdminHandler Admin_;
  fleet::PeriodicThread TableThread_;
  fleet::PeriodicThread VmListThread_;
  std::shared_ptr<AgentHandler> Handler_;
  wire::WireServer AgentServer_;
  httpkit::HttpServer OperatorServer_;
};

AgentDaemon::AgentDaemon(const AgentSettings &Settings)
    : Impl_(std::make_unique<Impl>(Settings)) {}

AgentDaemon::~AgentDaemon() = default;

void AgentDaemon::start() { Impl_->start(); }

void AgentDaemon::stop() { Impl_->stop(); }

} // namespace ebony::agent
