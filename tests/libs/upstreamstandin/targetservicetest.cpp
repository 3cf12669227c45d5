#include "upstreamstandin/targetservice.h"
#include "base/steadyclock.h"
#include "standin/httplistener.h"
#include "upstreamstandin/controlservice.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <boost/test/unit_test.hpp>

#include <iterator>
#include <thread>

using namespace ebony;
using namespace ebony::upstreamstandin;
using namespace std::chrono_literals;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {

struct Received {
  HTTPResponse Head_;
  std::string Body_;
};

struct Fixture {
  Received send(std::uint16_t Port, const std::string &Method,
                const std::string &Path, const std::string &Body,
                const std::string &Deadline = "") {
    Poco::Net::HTTPClientSession Session("127.0.0.1", Port);
    HTTPRequest Request(Method, Path, HTTPRequest::HTTP_1_1);
    Request.set("Ebony-Request-Id", "r1");
    Request.set("Ebony-Customer", "atlas");
    if (!Deadline.empty())
      Request.set("Ebony-Deadline-Ms", Deadline);
    Request.setContentLength(static_cast<std::streamsize>(Body.size()));
    Session.sendRequest(Request) << Body;
    Received Answer;
    std::istream &In = Session.receiveResponse(Answer.Head_);
    Answer.Body_.assign(std::istreambuf_iterator<char>(In), {});
    return Answer;
  }
  Received run(const std::string &Method, const std::string &Body,
               const std::string &Deadline = "") {
    return send(Listener_.port(), Method, "/trades?n=1", Body, Deadline);
  }
  void applyOrders(const std::string &Body) {
    BOOST_TEST(send(ControlListener_.port(), "POST", "/standin/orders", Body)
                   .Head_.getStatus() == HTTPResponse::HTTP_NO_CONTENT);
  }

  static std::vector<std::unique_ptr<Target>> oneTarget() {
    std::vector<std::unique_ptr<Target>> All;
    All.push_back(std::make_unique<Target>(
        TargetSettings{
            .Name_ = "status-1", .Address_ = "127.0.0.1", .Slots_ = 2},
        base::RandomEngine(9)));
    return All;
  }

  base::SteadyClock Clock_;
  std::vector<std::unique_ptr<Target>> Targets_ = oneTarget();
  TargetService Service_{*Targets_[0], Clock_};
  ControlService Control_{Targets_};
  standin::HttpListener Listener_{Service_, "127.0.0.1", 0, 1ms};
  standin::HttpListener ControlListener_{Control_, "127.0.0.1", 0,
                                         base::Duration::zero()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(targetservicetest, Fixture)

BOOST_AUTO_TEST_CASE(echoesRequestAndRecordsItInLedger) {
  const Received Answer = run("POST", "abc");
  BOOST_TEST(Answer.Head_.get("Ebony-Request-Id") == "r1");
  BOOST_TEST(Answer.Head_.get("Ebony-Load") == "0/2");
  BOOST_TEST(Answer.Body_.find("ba7816bf8f01cfea414140de5dae2223b00361a396177a9"
                               "cb410ff61f20015ad") != std::string::npos);
  BOOST_TEST(Answer.Body_.find(R"("bodyBytes":3)") != std::string::npos);
  const std::string Ledger =
      send(ControlListener_.port(), "GET", "/standin/ledger", "").Body_;
  BOOST_TEST(Ledger.find(R"("count":1,"customer":"atlas")") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(reportsUnknownOutcomeAfterDeadline) {
  applyOrders(R"({"target":"status-1","serviceMs":60000})");
  const Received Answer = run("GET", "", "1");
  BOOST_TEST(Answer.Head_.getStatus() == HTTPResponse::HTTP_GATEWAY_TIMEOUT);
  BOOST_TEST(Answer.Head_.get("Ebony-Upstream-Outcome") == "unknown");
}

BOOST_AUTO_TEST_CASE(cancelsRunInFlight) {
  applyOrders(R"({"target":"*","serviceMs":60000})");
  Received Answer;
  std::thread Caller([&] { Answer = run("GET", ""); });
  while (
      send(Listener_.port(), "DELETE", "/requests/r1", "").Head_.getStatus() !=
      HTTPResponse::HTTP_NO_CONTENT)
    std::this_thread::yield();
  Caller.join();
  BOOST_TEST(Answer.Head_.get("Ebony-Upstream-Outcome") == "unknown");
}

BOOST_AUTO_TEST_CASE(injectsCutCrossedAndLostAnswers) {
  applyOrders(R"({"target":"*","cutAnswerProbability":1})");
  const Received Cut = run("GET", "");
  BOOST_TEST(static_cast<std::streamsize>(Cut.Body_.size()) <
             Cut.Head_.getContentLength());
  applyOrders(R"({"target":"*","cutAnswerProbability":0,"crossAnswers":true})");
  BOOST_TEST(run("POST", "").Body_.find(R"("method":"GET")") !=
             std::string::npos);
  applyOrders(R"({"target":"*","loseAnswerProbability":1})");
  BOOST_CHECK_THROW(run("GET", ""), Poco::Exception);
}

BOOST_AUTO_TEST_CASE(refusesRequestsWhileDraining) {
  applyOrders(R"({"target":"*","drain":true})");
  const Received Answer = run("POST", "");
  BOOST_TEST(Answer.Head_.get("Ebony-Upstream-Outcome") == "not-run");
  BOOST_TEST(send(Listener_.port(), "GET", "/healthz", "").Head_.getStatus() ==
             HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
}

BOOST_AUTO_TEST_SUITE_END()
