#ifndef EBONY_TESTS_VM_REQUESTPATHFIXTURE_H
#define EBONY_TESTS_VM_REQUESTPATHFIXTURE_H

#include "libs/vm/fakestore.h"
#include "libs/vm/fakeupstream.h"
#include "libs/vm/shiftedclock.h"
#include "vm/callersession.h"
#include "vm/statesynchronizer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace ebony::vm {

using TestResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

inline PlatformBinding makeTestBinding(boost::asio::io_context &Context,
                                       const FakeRows &Rows) {
  PlatformBinding Binding;
  Binding.Headers_ = {"Id",    "Left",    "Object", "Expected", "Customer",
                      "Stamp", "Not-Run", "Rate",   "Bearer ",  "Leaving"};
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
    Route.LatencyObjective_ = std::chrono::milliseconds(600);
    Route.Timeout_ = std::chrono::seconds(5);
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

/// A VM's request path on loopback with two upstreams and a caller.
struct RequestPathFixture {
  boost::asio::io_context Context_{1};
  FakeUpstream FirstUpstream_{Context_};
  FakeUpstream SecondUpstream_{Context_};
  FakeRows Rows_;
  ShiftedClock Clock_;
  std::unique_ptr<VmState> State_;
  std::unique_ptr<AsyncDispatcher> AsyncDispatcher_;
  std::unique_ptr<QuotaAdmission> Admission_;
  std::unique_ptr<StateSynchronizer> Synchronizer_;
  boost::asio::ip::tcp::acceptor Acceptor_{
      Context_, {boost::asio::ip::address_v4::loopback(), 0}};
  int LastId_ = 0;

  /// \p Adjust may change the binding before it is used.
  explicit RequestPathFixture(
      const std::function<void(PlatformBinding &)> &Adjust = nullptr) {
    Rows_["operators"] = {{"configuration", "", 1, false}};
    Rows_["upstreams"] = {
        {"one", std::to_string(FirstUpstream_.port()), 2, false},
        {"two", std::to_string(SecondUpstream_.port()), 3, false}};
    VmSettings Settings;
    Settings.Name_ = "vm";
    Settings.Zones_[base::ZoneName("z")] = base::RegionName("r");
    Settings.Region_ = base::RegionName("r");
    FleetBounds Bounds;
    Bounds.RetrySlack_ = 100;
    PlatformBinding Binding = makeTestBinding(Context_, Rows_);
    if (Adjust)
      Adjust(Binding);
    State_ = std::make_unique<VmState>(Context_, Clock_, Settings, Bounds,
                                       Binding, 1);
    // Retries may use their slack from the start.
    State_->Budget_.setVmCount(1, Clock_.now());
    Clock_.advance(Bounds.RetryWindow_);
    AsyncDispatcher_ = std::make_unique<AsyncDispatcher>(*State_);
    Admission_ = std::make_unique<QuotaAdmission>(
        *State_, [](const std::string &, const peers::TokenAsk &) {});
    Synchronizer_ = std::make_unique<StateSynchronizer>(*State_);
    Synchronizer_->start();
    FirstUpstream_.start();
    SecondUpstream_.start();
    boost::asio::co_spawn(Context_, accept(), boost::asio::detached);
  }

  asynckit::awaitable<void> accept() {
    for (;;) {
      asynckit::error_code Error;
      boost::asio::ip::tcp::socket Socket =
          co_await Acceptor_.async_accept(asynckit::into(Error));
      if (Error)
        co_return;
      // From here on only the coroutine owns the session.
      auto Session = std::make_shared<CallerSession>(
          *State_, *AsyncDispatcher_, *Admission_, RequestOrigin::Caller,
          std::move(Socket));
      boost::asio::co_spawn(Context_, CallerSession::run(std::move(Session)),
                            boost::asio::detached);
    }
  }

  asynckit::awaitable<void> pause(base::Duration Span) {
    boost::asio::steady_timer Timer(Context_, Span);
    asynckit::error_code Ignored; // The timer is never cancelled.
    co_await Timer.async_wait(asynckit::into(Ignored));
  }

  asynckit::awaitable<void> awaitReady() {
    while (!State_->isReady())
      co_await pause(std::chrono::milliseconds(1));
  }

  asynckit::awaitable<void> sendAll(std::vector<std::string> Targets,
                                    std::vector<TestResponse> &Responses) {
    co_await awaitReady();
    asynckit::error_code Error;
    boost::asio::ip::tcp::socket Socket(Context_);
    co_await Socket.async_connect(Acceptor_.local_endpoint(),
                                  asynckit::into(Error));
    boost::beast::flat_buffer Buffer;
    int Number = 0;
    for (const std::string &Target : Targets) {
      const std::string Request = "GET " + Target +
                                  " HTTP/1.1\r\nHost: h\r\nId: q" +
                                  std::to_string(++Number) +
                                  "\r\nObject: 7\r\nLeft: 5000\r\n"
                                  "Authorization: Bearer secret\r\n\r\n";
      co_await boost::asio::async_write(Socket, boost::asio::buffer(Request),
                                        asynckit::into(Error));
      TestResponse Answer;
      co_await boost::beast::http::async_read(Socket, Buffer, Answer,
                                              asynckit::into(Error));
      Responses.push_back(Answer);
      if (Error)
        break;
    }
    Context_.stop();
  }

  std::vector<TestResponse>
  sendRequests(const std::vector<std::string> &Targets) {
    std::vector<TestResponse> Responses;
    boost::asio::co_spawn(Context_, sendAll(Targets, Responses),
                          boost::asio::detached);
    Context_.run();
    return Responses;
  }

  /// Sends one request on a new connection. The status is 0 if no response
  /// arrived.
  asynckit::awaitable<TestResponse> call(std::string Target, int Object) {
    const std::string Number = std::to_string(++LastId_);
    const std::string Request = "GET " + Target +
                                " HTTP/1.1\r\nHost: h\r\nId: c" + Number +
                                "\r\nCookie: Object=" + std::to_string(Object) +
                                "\r\nLeft: 5000\r\n\r\n";
    TestResponse Response;
    Response.result(boost::beast::http::status::unknown);
    asynckit::error_code Error;
    boost::asio::ip::tcp::socket Socket(Context_);
    co_await Socket.async_connect(Acceptor_.local_endpoint(),
                                  asynckit::into(Error));
    co_await boost::asio::async_write(Socket, boost::asio::buffer(Request),
                                      asynckit::into(Error));
    boost::beast::flat_buffer Buffer;
    co_await boost::beast::http::async_read(Socket, Buffer, Response,
                                            asynckit::into(Error));
    if (Error)
      Response.result(boost::beast::http::status::unknown);
    co_return Response;
  }

  void run(asynckit::awaitable<void> Test) {
    boost::asio::co_spawn(
        Context_,
        [this, &Test]() -> asynckit::awaitable<void> {
          co_await awaitReady();
          co_await std::move(Test);
          Context_.stop();
        },
        [](const std::exception_ptr &Error) {
          if (Error)
            std::rethrow_exception(Error);
        });
    Context_.run();
  }

  std::size_t receivedRequests() const {
    return FirstUpstream_.requests().size() + SecondUpstream_.requests().size();
  }
};

} // namespace ebony::vm

#endif
