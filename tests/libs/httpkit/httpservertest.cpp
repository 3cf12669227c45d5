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
#include <iterator>
#include <string>

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
  httpkit::HttpServer Server(
      {"127.0.0.1", Port}, 4,
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
  httpkit::HttpServer Server(
      {"127.0.0.1", Port}, 4,
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

BOOST_AUTO_TEST_SUITE_END()
