#include "base/steadyclock.h"
#include "libs/vm/fakestore.h"
#include "libs/vm/fakeupstream.h"
#include "vm/callersession.h"
#include "vm/knowledge.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::vm;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using asynckit::awaitable;
using asynckit::error_code;
using asynckit::into;

namespace {

using Response = http::response<http::string_body>;

PlatformBinding binding(asio::io_context &Context, const FakeRows &Rows) {
  PlatformBinding Binding;
  Binding.Headers_ = {"Id",       "Left",  "Object",  "Expected",
                      "Customer", "Stamp", "Not-Run", "Bearer "};
  Binding.OperatorTable_ = "operators";
  Binding.ConfigurationKey_ = "configuration";
  Binding.EvacuationPrefix_ = "evacuate/";
  Binding.UpstreamTable_ = "upstreams";
  Binding.DecodeConfiguration_ = [](const std::string &) {
    auto Rules =
        std::make_shared<traffic::TrafficRules>(1, traffic::CallerLimits());
    traffic::RouteSettings Route;
    Route.Name_ = "read";
    Route.Prefix_ = "/read/";
    Route.RetryPolicy_ = traffic::RetryPolicy::Idempotent;
    Route.LatencyObjective_ = 600ms;
    Route.Timeout_ = 5s;
    Route.MaxAttempts_ = 2;
    Route.Services_ = {{base::ServiceName("s"), 1}};
    Rules->addRoute("h", Route);
    Route.Name_ = "write";
    Route.Prefix_ = "/write/";
    Route.RetryPolicy_ = traffic::RetryPolicy::AtMostOnce;
    Rules->addRoute("h", Route);
    return base::Checked<traffic::TrafficRulesPtr>(std::move(Rules));
  };
  Binding.DecodeUpstream_ =
      [](const store::Row &Row) -> std::optional<traffic::UpstreamEntry> {
    traffic::UpstreamEntry Entry;
    Entry.Name_ = base::UpstreamName(Row.Key_);
    Entry.Service_ = base::ServiceName("s");
    Entry.Address_ = "127.0.0.1";
    Entry.Port_ = static_cast<std::uint16_t>(std::stoi(Row.Value_));
    Entry.Zone_ = base::ZoneName("z");
    Entry.Slots_ = 4;
    return Entry;
  };
  Binding.MakeStore_ = [&Context, &Rows] {
    return std::make_unique<FakeStore>(Context, Rows);
  };
  return Binding;
}

/// A VM's request path on loopback, with two upstreams and a caller.
struct Fixture {
  asio::io_context Context_{1};
  FakeUpstream One_{Context_};
  FakeUpstream Two_{Context_};
  FakeRows Rows_;
  base::SteadyClock Clock_;
  std::unique_ptr<VmState> State_;
  std::unique_ptr<DispatchDesk> Desk_;
  std::unique_ptr<TokenDesk> Tokens_;
  std::unique_ptr<Knowledge> Knowledge_;
  tcp::acceptor Acceptor_{Context_, {asio::ip::address_v4::loopback(), 0}};

  Fixture() {
    Rows_["operators"] = {{"configuration", "", 1, false}};
    Rows_["upstreams"] = {{"one", std::to_string(One_.port()), 2, false},
                          {"two", std::to_string(Two_.port()), 3, false}};
    VmSettings Settings;
    Settings.Name_ = "vm";
    Settings.Zones_[base::ZoneName("z")] = base::RegionName("r");
    Settings.Region_ = base::RegionName("r");
    FleetBounds Bounds;
    Bounds.RetrySlack_ = 100;
    State_ = std::make_unique<VmState>(Context_, Clock_, Settings, Bounds,
                                       binding(Context_, Rows_), 1);
    Desk_ = std::make_unique<DispatchDesk>(*State_);
    Tokens_ = std::make_unique<TokenDesk>(
        *State_, [](const std::string &, const peers::TokenAsk &) {});
    Knowledge_ = std::make_unique<Knowledge>(*State_);
    Knowledge_->start();
    One_.start();
    Two_.start();
    asio::co_spawn(Context_, accept(), asio::detached);
  }

  awaitable<void> accept() {
    for (;;) {
      error_code Error;
      tcp::socket Socket = co_await Acceptor_.async_accept(into(Error));
      if (Error)
        co_return;
      // Nothing but the coroutine holds the session from here on.
      auto Session = std::make_shared<CallerSession>(*State_, *Desk_, *Tokens_,
                                                     std::move(Socket));
      asio::co_spawn(Context_, CallerSession::run(std::move(Session)),
                     asio::detached);
    }
  }

  awaitable<void> askAll(std::vector<std::string> Targets,
                         std::vector<Response> &Answers) {
    asio::steady_timer Timer(Context_);
    error_code Error;
    while (!State_->isReady()) {
      Timer.expires_after(1ms);
      co_await Timer.async_wait(into(Error));
    }
    tcp::socket Socket(Context_);
    co_await Socket.async_connect(Acceptor_.local_endpoint(), into(Error));
    boost::beast::flat_buffer Buffer;
    int Number = 0;
    for (const std::string &Target : Targets) {
      const std::string Request = "GET " + Target +
                                  " HTTP/1.1\r\nHost: h\r\nId: q" +
                                  std::to_string(++Number) +
                                  "\r\nObject: 7\r\nLeft: 5000\r\n"
                                  "Authorization: Bearer secret\r\n\r\n";
      co_await asio::async_write(Socket, asio::buffer(Request), into(Error));
      Response Answer;
      co_await http::async_read(Socket, Buffer, Answer, into(Error));
      Answers.push_back(Answer);
      if (Error)
        break;
    }
    Context_.stop();
  }

  std::vector<Response> ask(const std::vector<std::string> &Targets) {
    std::vector<Response> Answers;
    asio::co_spawn(Context_, askAll(Targets, Answers), asio::detached);
    Context_.run();
    return Answers;
  }

  std::size_t arrivals() const {
    return One_.requests().size() + Two_.requests().size();
  }
};

std::string valueIn(const FakeRequest &Request, const char *Name) {
  return std::string(Request[Name]);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(requestpathtest, Fixture)

// The first request of a connection once found its session freed.
BOOST_AUTO_TEST_CASE(requestsOfOneConnectionAreAnsweredInTurn) {
  const auto Answers = ask({"/read/a", "/read/b", "/none/"});
  BOOST_TEST_REQUIRE(Answers.size() == 3U);
  BOOST_TEST(Answers[0].result_int() == 200U);
  BOOST_TEST(Answers[0].body() == "whole answer");
  BOOST_TEST(std::string(Answers[1]["Id"]) == "q2");
  BOOST_TEST(Answers[2].result_int() == 404U);
}

BOOST_AUTO_TEST_CASE(theUpstreamIsNamedAndSeesNoKey) {
  ask({"/read/a"});
  BOOST_TEST_REQUIRE(arrivals() == 1U);
  const bool IsOne = !One_.requests().empty();
  const FakeRequest &Seen = (IsOne ? One_ : Two_).requests().front();
  BOOST_TEST(valueIn(Seen, "Expected") == (IsOne ? "one" : "two"));
  BOOST_TEST(valueIn(Seen, "Authorization").empty());
  BOOST_TEST(std::stoi(valueIn(Seen, "Left")) <= 5000);
}

BOOST_AUTO_TEST_CASE(aStrayAnswerIsReadPast) {
  One_.setBehaviour(FakeBehaviour::StrayAnswerFirst);
  Two_.setBehaviour(FakeBehaviour::StrayAnswerFirst);
  const auto Answers = ask({"/read/a"});
  BOOST_TEST(Answers.front().result_int() == 200U);
  BOOST_TEST(Answers.front().body() == "whole answer");
}

BOOST_AUTO_TEST_CASE(aLostAnswerIsRepeatedOnlyWhereTheRouteAllowsIt) {
  One_.setBehaviour(FakeBehaviour::CloseUnanswered);
  Two_.setBehaviour(FakeBehaviour::CloseUnanswered);
  const auto Answers = ask({"/write/a", "/read/a"});
  BOOST_TEST_REQUIRE(Answers.size() == 2U);
  BOOST_TEST(Answers[0].result_int() == 502U);
  BOOST_TEST(Answers[1].result_int() == 502U);
  // One arrival for the write, two for the read.
  BOOST_TEST(arrivals() == 3U);
}

BOOST_AUTO_TEST_CASE(aCutAnswerIsReplacedByAnothers) {
  One_.setBehaviour(FakeBehaviour::CutAnswer);
  const auto Answers = ask({"/read/a", "/read/b", "/read/c"});
  for (const Response &Answer : Answers)
    BOOST_TEST(Answer.body() == "whole answer");
}

BOOST_AUTO_TEST_CASE(aShedRequestGoesElsewhereOrIsRefusedAsNotRun) {
  One_.setBehaviour(FakeBehaviour::Shed);
  BOOST_TEST(ask({"/write/a"}).front().result_int() == 200U);
}

BOOST_AUTO_TEST_CASE(whenAllShedTheRefusalSaysNotRun) {
  One_.setBehaviour(FakeBehaviour::Shed);
  Two_.setBehaviour(FakeBehaviour::Shed);
  const auto Answers = ask({"/write/a"});
  BOOST_TEST(Answers.front().result_int() == 503U);
  BOOST_TEST(!std::string(Answers.front()["Retry-After"]).empty());
}

// A request was taken in 5 s after SIGTERM and cut 0.3 s later.
BOOST_AUTO_TEST_CASE(aVmThatIsAboutToEndRefusesAtOnce) {
  State_->RefusesNew_ = true;
  const auto Answers = ask({"/write/a"});
  BOOST_TEST(Answers.front().result_int() == 503U);
  BOOST_TEST(arrivals() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
