#include "steer/steerdaemon.h"

#include "base/steadyclock.h"
#include "fleet/agentfollower.h"
#include "fleet/incarnation.h"
#include "httpkit/adminhandler.h"
#include "httpkit/httpserver.h"
#include "httpkit/problem.h"
#include "steer/lookuphandler.h"

#include <glog/logging.h>

namespace ebony::steer {

namespace {

constexpr std::size_t LoggedChanges = 16;
constexpr int StopTimeoutSeconds = 5;

} // namespace

class SteerDaemon::Implementation {
public:
  explicit Implementation(const SteerSettings &Settings)
      : Settings_(Settings), OwnVm_(base::VmAddress(Settings.Address_),
                                    fleet::newIncarnation(), Settings.Zone_),
        History_(static_cast<std::size_t>(Settings.DecisionHistory_)),
        Decisions_(History_), State_({}, LoggedChanges),
        Lookups_(Settings_, State_, Decisions_, Metrics_),
        Admin_(Metrics_, History_, [this] { return State_.isReady(); }),
        Follower_(State_, Clock_, OwnVm_, wire::FollowerRole::STEER,
                  Settings.AgentPort_),
        Server_("steer", {Settings.Address_, Settings.SteerPort_},
                static_cast<std::size_t>(Settings.MaxConnections_), Metrics_,
                [this](auto &Request, auto &Response) {
                  answer(Request, Response);
                }) {}

  void start() {
    Follower_.start();
    Server_.start();
    LOG(INFO) << "steerd started address=" << Settings_.Address_
              << " zone=" << Settings_.Zone_.text();
  }

  void stop() {
    Server_.stopGracefully(StopTimeoutSeconds);
    Follower_.stop();
    LOG(INFO) << "steerd stopped";
  }

private:
  void answer(Poco::Net::HTTPServerRequest &Request,
              Poco::Net::HTTPServerResponse &Response) {
    static const std::string LookupPath = "/v1/lookup";
    const std::string &Target = Request.getURI();
    if (Target.substr(0, Target.find('?')) == LookupPath)
      return Lookups_.answer(Request, Response);
    if (!Admin_.answer(Request, Response))
      httpkit::sendProblem(Response,
                           {404, httpkit::Outcome::NotRun, "no-page",
                            "Use /v1/lookup?service=<name>.", std::nullopt});
  }

  SteerSettings Settings_;
  base::SteadyClock Clock_;
  base::VmIdentity OwnVm_;
  telemetry::MetricsRegistry Metrics_;
  telemetry::DecisionHistory History_;
  telemetry::DecisionLog Decisions_;
  fleet::FleetState State_;
  LookupHandler Lookups_;
  httpkit::AdminHandler Admin_;
  fleet::AgentFollower Follower_;
  httpkit::HttpServer Server_;
};

SteerDaemon::SteerDaemon(const SteerSettings &Settings)
    : Implementation_(std::make_unique<Implementation>(Settings)) {}

SteerDaemon::~SteerDaemon() = default;

void SteerDaemon::start() { Implementation_->start(); }

void SteerDaemon::stop() { Implementation_->stop(); }

} // namespace ebony::steer
