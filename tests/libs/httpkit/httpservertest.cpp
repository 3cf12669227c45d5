#include "httpkit/httpserver.h"
#include "httpkit/problem.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>
#include <iterator>
#include <string>
#include <vector>

using namespace ebony;
using namespace Poco::Net;

namespace {

// HttpServer does not report the port it is bound to, so a free port is chosen
// in advance instead of port 0.
std::uint16_t freePort() {
  return ServerSocket(SocketAddress("127.0.0.1", 0)).address().port();
}

} // namespace

BOOST_AUTO_TEST_SUITE(httpservertest)

BOOST_AUTO_TEST_CASE(rejectedUploadReceivesCompleteResponse) {
  const std::uint16_t Port = freePort();
  telemetry::MetricsRegistry Metrics;
  httpkit::HttpServer Server(
      "test", {"127.0.0.1", Port}, 4, Metrics,
      [](HTTPServerRequest & /*Request*/, HTTPServerResponse &Response) {
        Response.setStatusAndReason(HTTPResponse::HTTP_TOO_MANY_REQUESTS);
        Response.sendBuffer("no", 2);
      });
  Server.start();
  HTTPClientSession Session("127.0.0.1", Port);
  Session.setKeepAlive(true);
  const std::string Upload(4'000'000, 'x');
  for (int Attempt = 0; Attempt < 3; ++Attempt) {
    HTTPRequest Request("POST", "/", HTTPMessage::HTTP_1_1);
    Request.setContentLength(static_cast<std::streamsize>(Upload.size()));
    Session.sendRequest(Request) << Upload << std::flush;
    HTTPResponse Response;
    std::istream &In = Session.receiveResponse(Response);
    BOOST_TEST(Response.getStatus() == HTTPResponse::HTTP_TOO_MANY_REQUESTS);
    BOOST_TEST(std::string(std::istreambuf_iterator<char>(In), {}) == "no");
  }
  Server.stopGracefully(1);
}

BOOST_AUTO_TEST_CASE(sendsRefusalBeforeBodyArrives) {
  const std::uint16_t Port = freePort();
  telemetry::MetricsRegistry Metrics;
  httpkit::HttpServer Server(
      "test", {"127.0.0.1", Port}, 4, Metrics,
      [](HTTPServerRequest & /*Request*/, HTTPServerResponse &Response) {
        httpkit::sendProblem(Response, {429, httpkit::Outcome::NotRun, "test",
                                        "Wait.", std::nullopt});
      });
  Server.start();
  StreamSocket Socket(SocketAddress("127.0.0.1", Port));
  // Much shorter than the server's read timeout of 15 s.
  Socket.setReceiveTimeout(Poco::Timespan(5, 0));
  const std::string Head = "POST / HTTP/1.1\r\nHost: test\r\n"
                           "Content-Length: 1000\r\n\r\n";
  Socket.sendBytes(Head.data(), static_cast<int>(Head.size()));
  std::array<char, 12> Answer{};
  Socket.receiveBytes(Answer.data(), static_cast<int>(Answer.size()));
  BOOST_TEST(std::string(Answer.data(), Answer.size()) == "HTTP/1.1 429");
  Socket.close();
  Server.stopGracefully(1);
}

// A server of two connections, a crowd that sends nothing or a part of a head,
// and one more caller.
BOOST_AUTO_TEST_CASE(clientsThatSendNothingMakeRoomForOthers) {
  const std::uint16_t Port = freePort();
  telemetry::MetricsRegistry Metrics;
  httpkit::HttpServer Server(
      "test", {"127.0.0.1", Port}, 2, Metrics,
      [](HTTPServerRequest & /*Request*/, HTTPServerResponse &Response) {
        Response.sendBuffer("ok", 2);
      });
  Server.start();
  std::vector<StreamSocket> Crowd;
  for (int I = 0; I < 8; ++I) {
    Crowd.emplace_back(SocketAddress("127.0.0.1", Port));
    if (I % 2)
      Crowd.back().sendBytes("GET / HTTP/1.1\r\nA: ", 19);
  }
  HTTPClientSession Session("127.0.0.1", Port);
  Session.setTimeout(Poco::Timespan(5, 0));
  HTTPRequest Request("GET", "/", HTTPMessage::HTTP_1_1);
  Session.sendRequest(Request);
  HTTPResponse Response;
  Session.receiveResponse(Response);
  BOOST_TEST(Response.getStatus() == HTTPResponse::HTTP_OK);
  Crowd.clear();
  Server.stopGracefully(1);
}

// The parser takes the end of the connection for the end of the head.
BOOST_AUTO_TEST_CASE(requestWhoseHeadIsCutOrTooLargeIsNotAnswered) {
  const std::uint16_t Port = freePort();
  telemetry::MetricsRegistry Metrics;
  std::atomic<int> Answered = 0;
  httpkit::HttpServer Server(
      "test", {"127.0.0.1", Port}, 4, Metrics,
      [&](HTTPServerRequest & /*Request*/, HTTPServerResponse &Response) {
        ++Answered;
        Response.sendBuffer("ok", 2);
      });
  Server.start();
  std::string Fields;
  for (int I = 0; I < 40; ++I)
    Fields += "f" + std::to_string(I) + ": " + std::string(4000, 'v') + "\r\n";
  for (const std::string &Head : {std::string("A: b\r\n"), Fields}) {
    StreamSocket Socket(SocketAddress("127.0.0.1", Port));
    Socket.setReceiveTimeout(Poco::Timespan(5, 0));
    const std::string Bytes = "GET / HTTP/1.1\r\n" + Head;
    std::array<char, 1024> Answer{};
    try {
      Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
      Socket.shutdownSend();
      while (Socket.receiveBytes(Answer.data(), Answer.size()) > 0)
        ;
    } catch (const Poco::Exception &) {
      // The server may reset the connection.
    }
  }
  Server.stopGracefully(1);
  BOOST_TEST(Answered == 0);
}

BOOST_AUTO_TEST_SUITE_END()
