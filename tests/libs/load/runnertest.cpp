#include "load/runner.h"
#include "base/steadyclock.h"
#include "load/ledgerclient.h"
#include "load/reportbuilder.h"
#include "standin/httplistener.h"
#include "upstreamstandin/controlservice.h"
#include "upstreamstandin/targetservice.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <memory>

using namespace ebony;
using namespace ebony::load;
using namespace std::chrono_literals;
using standin::HttpAnswer;
using standin::HttpCall;
using standin::HttpHeader;

namespace {

constexpr char Bearer[] = "Bearer secret";

/// Fakes steerd and entryd in front of one upstream target.
class FakeEntry final : public standin::HttpService {
public:
  explicit FakeEntry(standin::HttpService &Upstream) : Upstream_(Upstream) {}

  HttpAnswer serve(const HttpCall &Call, std::istream &Body) override {
    if (Call.path() == "/v1/lookup")
      return lookup();
    if (Call.header("Authorization") != Bearer)
      return {401,
              "text/plain",
              "no\n",
              {{"Ebony-Outcome", "not-run"}},
              standin::Delivery::Whole};
    const std::string Target = Call.target().substr(sizeof("/s/status") - 1);
    const HttpCall Forwarded(
        Call.method(), Target, Call.caller(),
        {{"Ebony-Request-Id", "r" + std::to_string(++Requests_)},
         {"Ebony-Customer", "atlas"},
         {"Ebony-Operation", Call.header("Idempotency-Key")},
         {"Content-Length", Call.header("Content-Length")}});
    HttpAnswer Answer = Upstream_.serve(Forwarded, Body);
    if (Answer.Status_ != 200)
      Answer.Headers_.push_back({"Ebony-Outcome", "not-run"});
    return Answer;
  }

  std::uint16_t Port_ = 0;

private:
  HttpAnswer lookup() const {
    return {200,
            "application/json",
            R"({"service":"status","ttlMilliseconds":1000,"session":"s",)"
            R"("entryVms":[{"address":"127.0.0.1","port":)" +
                std::to_string(Port_) + R"(,"zone":"lisbon-a"}]})",
            {},
            standin::Delivery::Whole};
  }

  standin::HttpService &Upstream_;
  std::atomic<int> Requests_{0};
};

struct Fixture {
  Fixture() {
    Entry_.Port_ = EntryListener_.port();
    Fleet_.Zones_ = {{"lisbon-a",
                      "lisbon",
                      {"127.0.0.1", ControlListener_.port()},
                      {{"127.0.0.1", EntryListener_.port()}}}};
    Fleet_.Customers_ = {{"atlas", 1000, 1000, "secret"}};
    Load_.Name_ = "w";
    Load_.Workers_ = 4;
    Load_.MaxAttempts_ = 2;
    Load_.Classes_ = {{"read", "status", "GET", "/t", 0, 1s, false},
                      {"affirm", "status", "POST", "/a", 40000, 1s, true}};
    Load_.Customers_ = {{"atlas", 200, {"lisbon-a"}, {{0, 1}, {1, 1}}}};
  }

  Report run() {
    HttpCaller Caller;
    const Ledger Before = readLedgers(Fleet_, Caller).value();
    const auto Arrivals = planArrivals(Load_, 500ms);
    Records_ = Runner(Fleet_, Load_, Clock_).run(Arrivals);
    BOOST_TEST(Records_.size() == Arrivals.size());
    return ReportBuilder(Fleet_, Load_, 500ms)
        .build(Records_, Before, readLedgers(Fleet_, Caller).value());
  }

  base::SteadyClock Clock_;
  std::vector<std::unique_ptr<upstreamstandin::Target>> Targets_ = targets();
  upstreamstandin::TargetService Upstream_{*Targets_[0], Clock_};
  upstreamstandin::ControlService Control_{Targets_};
  FakeEntry Entry_{Upstream_};
  standin::HttpListener EntryListener_{Entry_, "127.0.0.1", 0,
                                       base::Duration::zero()};
  standin::HttpListener ControlListener_{Control_, "127.0.0.1", 0,
                                         base::Duration::zero()};
  Fleet Fleet_;
  Workload Load_;
  std::vector<RequestRecord> Records_;

private:
  static std::vector<std::unique_ptr<upstreamstandin::Target>> targets() {
    std::vector<std::unique_ptr<upstreamstandin::Target>> Created;
    Created.push_back(std::make_unique<upstreamstandin::Target>(
        upstreamstandin::TargetSettings{
            .Name_ = "status-1", .Address_ = "127.0.0.1", .Slots_ = 4},
        base::RandomEngine(1)));
    return Created;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(runnertest, Fixture)

BOOST_AUTO_TEST_CASE(servesAllRequestsWithoutViolation) {
  const Report Result = run();
  BOOST_TEST(Result.Total_.Offered_ > 50);
  BOOST_TEST(Result.Total_.Served_ == Result.Total_.Offered_);
  BOOST_TEST(Result.Violations_.total() == 0, toText(Result));
}

BOOST_AUTO_TEST_CASE(reportsCrossedAnswersAsMismatched) {
  upstreamstandin::TargetOrders Orders = Targets_[0]->orders();
  Orders.CrossAnswers_ = true;
  Targets_[0]->setOrders(Orders);
  BOOST_TEST(run().Violations_.MismatchedAnswers_ > 0);
}

BOOST_AUTO_TEST_CASE(reportsRetryAfterLostAnswerAsDuplicateRun) {
  upstreamstandin::TargetOrders Orders = Targets_[0]->orders();
  Orders.LoseAnswerProbability_ = 1;
  Targets_[0]->setOrders(Orders);
  const Report Result = run();
  BOOST_TEST(Result.Total_.Unknown_ == Result.Total_.Offered_);
  BOOST_TEST(Result.Violations_.RanTwice_ > 0);
}

BOOST_AUTO_TEST_CASE(countsWrongKeyAsRefusal) {
  Fleet_.Customers_[0].Key_ = "other";
  const Report Result = run();
  BOOST_TEST(Result.Total_.RefusedWithinRate_ == Result.Total_.Offered_);
}

BOOST_AUTO_TEST_SUITE_END()
