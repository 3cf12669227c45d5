#include "httpkit/adminhandler.h"

#include "httpkit/problem.h"

#include <Poco/Net/HTMLForm.h>
#include <Poco/URI.h>
#include <glog/logging.h>

#include <sstream>

namespace ebony::httpkit {

namespace {

namespace net = Poco::Net;

constexpr std::size_t MaxDecisions = 100;

void sendText(net::HTTPServerResponse &Response, const std::string &Text) {
  Response.setContentType("text/plain; charset=utf-8");
  Response.sendBuffer(Text.data(), Text.size());
}

std::string queryValue(const Poco::URI &Target, const std::string &Name) {
  for (const auto &[Key, Value] : Target.getQueryParameters())
    if (Key == Name)
      return Value;
  return {};
}

} // namespace

const AdminHandler::AdminRoute AdminHandler::Routes[] = {
    {"/healthz", &AdminHandler::sendHealth},
    {"/readyz", &AdminHandler::sendReadiness},
    {"/metrics", &AdminHandler::sendMetrics},
    {"/log-level", &AdminHandler::setLogLevel},
    {"/decisions", &AdminHandler::sendDecisions},
};

AdminHandler::AdminHandler(const telemetry::MetricsRegistry &Metrics,
                           const telemetry::DecisionHistory &History,
                           std::function<bool()> IsReady)
    : Metrics_(Metrics), History_(History), IsReady_(std::move(IsReady)) {}

bool AdminHandler::answer(net::HTTPServerRequest &Request,
                          net::HTTPServerResponse &Response) const {
  const std::string &Target = Request.getURI();
  const std::string Path = Target.substr(0, Target.find('?'));
  for (const AdminRoute &Route : Routes) {
    if (Path != Route.Path_)
      continue;
    (this->*Route.Answer_)(Request, Response);
    return true;
  }
  return false;
}

void AdminHandler::sendHealth(net::HTTPServerRequest &,
                              net::HTTPServerResponse &Response) const {
  sendText(Response, "ok\n");
}

void AdminHandler::sendReadiness(net::HTTPServerRequest &,
                                 net::HTTPServerResponse &Response) const {
  const bool IsReady = IsReady_();
  if (!IsReady)
    Response.setStatusAndReason(net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
  sendText(Response, IsReady ? "ready\n" : "not ready\n");
}

void AdminHandler::sendMetrics(net::HTTPServerRequest &,
                               net::HTTPServerResponse &Response) const {
  std::ostringstream Text;
  Metrics_.writeTo(Text);
  sendText(Response, Text.str());
}

void AdminHandler::setLogLevel(net::HTTPServerRequest &Request,
                               net::HTTPServerResponse &Response) const {
  struct NamedLevel {
    const char *Name_;
    int Severity_;
  };
  constexpr NamedLevel Levels[] = {{"info", google::GLOG_INFO},
                                   {"warning", google::GLOG_WARNING},
                                   {"error", google::GLOG_ERROR}};
  const std::string LevelName =
      queryValue(Poco::URI(Request.getURI()), "level");
  for (const NamedLevel &Level : Levels) {
    if (LevelName != Level.Name_)
      continue;
    FLAGS_minloglevel = Level.Severity_;
    sendText(Response, "log level " + LevelName + "\n");
    return;
  }
  sendProblem(Response,
              {400, Outcome::NotRun, "log-level",
               "Name a level: info, warning or error.", std::nullopt});
}

void AdminHandler::sendDecisions(net::HTTPServerRequest &Request,
                                 net::HTTPServerResponse &Response) const {
  const Poco::URI Target(Request.getURI());
  const std::string RequestId = queryValue(Target, "request");
  const std::string Customer = queryValue(Target, "customer");
  const std::string Service = queryValue(Target, "service");
  std::string Text;
  const auto Records =
      RequestId.empty()
          ? History_.search(
                [&](const telemetry::DecisionRecord &Record) {
                  return (Customer.empty() || Record.Customer_ == Customer) &&
                         (Service.empty() || Record.Service_ == Service);
                },
                MaxDecisions)
          : History_.find(RequestId);
  for (const telemetry::DecisionRecord &Record : Records)
    Text += toLine(Record) + "\n";
  sendText(Response, Text);
}

} // namespace ebony::httpkit
