#include "base/steadyclock.h"
#include "entry/forwarder.h"
#include "httpkit/httpserver.h"
#include "httpkit/problem.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/unit_test.hpp>

#include <array>
#include <thread>

using namespace ebony;
using namespace std::chrono_literals;
using namespace Poco::Net;

namespace {

constexpr std::int64_t MaxBodyBytes = 100'000;
const std::string LastChunk = "0\r\n\r\n";

std::string chunk(std::size_t Bytes) {
  std::array<char, 20> Size{};
  std::snprintf(Size.data(), Size.size(), "%zx\r\n", Bytes);
  return Size.data() + std::string(Bytes, 'x') + "\r\n";
}

/// A forwarder behind an HTTP server, with an upstream that only reads.
struct Fixture {
  ServerSocket UpstreamListener_{SocketAddress("127.0.0.1", 0)};
  std::string Received_;
  std::thread Upstream_{[this] { receive(); }};
  base::SteadyClock Clock_;
  telemetry::MetricsRegistry Metrics_;
  entry::ConnectionPool Connections_{"127.0.0.1", 4, 500ms};
  entry::Forwarder Forwarder_{Connections_, Clock_};
  base::Duration Timeout_{5s};
  entry::ForwardStatus Status_ = entry::ForwardStatus::Unknown;
  std::uint16_t Port_ =
      ServerSocket(SocketAddress("127.0.0.1", 0)).address().port();
  httpkit::HttpServer Server_{
      "test",
      {"127.0.0.1", Port_},
      4,
      Metrics_,
      [this](auto &Request, auto &Response) { forward(Request, Response); }};

  Fixture() { Server_.start(); }

  void receive() {
    StreamSocket Socket = UpstreamListener_.acceptConnection();
    Socket.setReceiveTimeout(Poco::Timespan(10, 0));
    std::array<char, 4096> Part{};
    try {
      while (const int Count = Socket.receiveBytes(Part.data(), Part.size()))
        Received_.append(Part.data(), static_cast<std::size_t>(Count));
    } catch (const Poco::Exception &) {
      // The forwarder may reset the connection.
    }
  }

  void forward(HTTPServerRequest &Request, HTTPServerResponse &Response) {
    entry::RequestContext Context;
    Context.Id_ = base::RequestId("e1");
    Context.Path_ = {base::ServiceName("s"), "/a", "/a"};
    Context.ArrivedAt_ = Clock_.now();
    Context.Deadline_ = Context.ArrivedAt_ + Timeout_;
    Context.MaxBodyBytes_ = MaxBodyBytes;
    entry::RequestBody Body(Request, Context.MaxBodyBytes_, Clock_,
                            Context.Deadline_);
    Status_ = Forwarder_
                  .forward(Context, Request, Body,
                           {"127.0.0.1", UpstreamListener_.address().port()},
                           Response)
                  .Status_;
    Response.setKeepAlive(false);
    httpkit::sendProblem(Response, {502, httpkit::Outcome::Unknown, "test",
                                    "None.", std::nullopt});
  }

  /// Sends a chunked request of \p Parts with a pause after each, and closes.
  void send(const std::vector<std::string> &Parts, int PauseMs = 0) {
    StreamSocket Socket(SocketAddress("127.0.0.1", Port_));
    Socket.setNoDelay(true);
    const std::string Head =
        "POST /s/s/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    Socket.sendBytes(Head.data(), static_cast<int>(Head.size()));
    try {
      for (const std::string &Part : Parts) {
        Socket.sendBytes(Part.data(), static_cast<int>(Part.size()));
        std::this_thread::sleep_for(std::chrono::milliseconds(PauseMs));
      }
    } catch (const Poco::Exception &) {
      // The daemon may refuse the rest.
    }
    Socket.close();
    Upstream_.join();
    Server_.stopGracefully(5);
  }

  bool looksWhole() const { return Received_.ends_with(LastChunk); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(cutuploadtest, Fixture)

// The end of the connection looks like the end of the body to the parser.
BOOST_AUTO_TEST_CASE(uploadWhoseCallerLeavesDoesNotLookWhole) {
  send({chunk(30'000), chunk(30'000)}, 50);
  BOOST_TEST(Received_.find("xxx") != std::string::npos);
  BOOST_TEST(!looksWhole());
  BOOST_TEST((Status_ == entry::ForwardStatus::CallerDisconnected));
}

BOOST_AUTO_TEST_CASE(uploadOverTheLimitDoesNotLookWhole) {
  send({chunk(60'000), chunk(60'000), LastChunk});
  BOOST_TEST(!looksWhole());
  BOOST_TEST((Status_ == entry::ForwardStatus::BodyTooLarge));
}

BOOST_AUTO_TEST_CASE(uploadThatComesByteByByteEndsAtTheDeadline) {
  Timeout_ = 300ms;
  send(std::vector<std::string>(60, chunk(1)), 20);
  BOOST_TEST(!looksWhole());
  BOOST_TEST((Status_ == entry::ForwardStatus::BodyTooSlow));
}

BOOST_AUTO_TEST_SUITE_END()
