#include "libs/vm/requestpathfixture.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::vm;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::size_t LargeBody = 100'000;

std::string head(const std::string &Target, const std::string &Fields) {
  return "POST " + Target + " HTTP/1.1\r\nHost: h\r\nId: a\r\nObject: 7\r\n" +
         "Left: 60000\r\n" + Fields + "\r\n";
}

std::string length(std::size_t Bytes) {
  return "Content-Length: " + std::to_string(Bytes) + "\r\n";
}

/// A caller that sends parts of a request and reads the response.
struct Fixture : RequestPathFixture {
  asio::ip::tcp::socket Socket_{Context_};

  asynckit::awaitable<void> connect() {
    asynckit::error_code Error;
    co_await Socket_.async_connect(Acceptor_.local_endpoint(),
                                   asynckit::into(Error));
  }

  asynckit::awaitable<bool> send(std::string Bytes) {
    asynckit::error_code Error;
    co_await asio::async_write(Socket_, asio::buffer(Bytes),
                               asynckit::into(Error));
    co_return !Error;
  }

  asynckit::awaitable<TestResponse> receive() {
    TestResponse Response;
    boost::beast::flat_buffer Buffer;
    asynckit::error_code Error;
    co_await boost::beast::http::async_read(Socket_, Buffer, Response,
                                            asynckit::into(Error));
    if (Error)
      Response.result(boost::beast::http::status::unknown);
    co_return Response;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(callerlimitstest, Fixture)

BOOST_AUTO_TEST_CASE(headDecidesBeforeTheBodyArrives) {
  TestResponse Response;
  run([](Fixture &Test, TestResponse &Result) -> asynckit::awaitable<void> {
    co_await Test.connect();
    co_await Test.send(head("/nowhere/1", length(LargeBody)));
    Result = co_await Test.receive();
  }(*this, Response));
  BOOST_TEST(Response.result_int() == 404U);
  BOOST_TEST(!Response.keep_alive());
}

BOOST_AUTO_TEST_CASE(connectionIsKeptIfTheWholeRequestHasArrived) {
  TestResponse First;
  TestResponse Second;
  run([](Fixture &Test, TestResponse &A,
         TestResponse &B) -> asynckit::awaitable<void> {
    co_await Test.connect();
    co_await Test.send(head("/nowhere/1", length(2)) + "ab");
    A = co_await Test.receive();
    co_await Test.send(head("/read/1", length(2)) + "ab");
    B = co_await Test.receive();
  }(*this, First, Second));
  BOOST_TEST(First.result_int() == 404U);
  BOOST_TEST(Second.result_int() == 200U);
}

// Closing the connection at once would reset it while the caller sends.
BOOST_AUTO_TEST_CASE(callerThatGoesOnSendingReadsItsRefusal) {
  TestResponse Response;
  run([](Fixture &Test, TestResponse &Result) -> asynckit::awaitable<void> {
    co_await Test.connect();
    co_await Test.send(head("/write/1", length(99'999'999'999)));
    for (int I = 0; I < 8; ++I) {
      co_await Test.send(std::string(65'536, 'x'));
      co_await Test.pause(5ms);
    }
    Result = co_await Test.receive();
  }(*this, Response));
  BOOST_TEST(Response.result_int() == 413U);
}

BOOST_AUTO_TEST_CASE(bodyThatStopsIsRefusedAtTheTimeoutOfItsRoute) {
  TestResponse Response;
  run([](Fixture &Test, TestResponse &Result) -> asynckit::awaitable<void> {
    co_await Test.connect();
    co_await Test.send(head("/write/1", length(LargeBody)) + "part");
    co_await Test.pause(20ms);
    Test.Clock_.advance(5'100ms);
    Test.State_->Deadlines_.tick(Test.State_->now());
    Result = co_await Test.receive();
  }(*this, Response));
  BOOST_TEST(Response.result_int() == 408U);
  BOOST_TEST(receivedRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(largeRequestIsRefusedWhileOthersTakeTheMemory) {
  MemoryShare Others(State_->CallerMemory_, [] {});
  Others.resizeUnchecked(State_->CallerMemory_->capacity() / 4 * 3,
                         State_->now());
  TestResponse Large;
  TestResponse Small;
  run([](Fixture &Test, TestResponse &A,
         TestResponse &B) -> asynckit::awaitable<void> {
    co_await Test.connect();
    co_await Test.send(head("/write/1", length(LargeBody)) +
                       std::string(LargeBody, 'x'));
    A = co_await Test.receive();
    B = co_await Test.call("/read/1", 7);
  }(*this, Large, Small));
  BOOST_TEST(Large.result_int() == 503U);
  BOOST_TEST(!Large["Retry-After"].empty());
  BOOST_TEST(Small.result_int() == 200U);
  BOOST_TEST(receivedRequests() == 1U);
}

// The sum of the time and the deadline must not overflow.
BOOST_AUTO_TEST_CASE(deadlineWithoutBoundIsLimited) {
  TestResponse Response;
  run([](Fixture &Test, TestResponse &Result) -> asynckit::awaitable<void> {
    co_await Test.connect();
    std::string Request = head("/read/1", length(2)) + "ab";
    Request.replace(Request.find("60000"), 5, "9000000000000000");
    co_await Test.send(Request);
    Result = co_await Test.receive();
  }(*this, Response));
  BOOST_TEST(Response.result_int() == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
