#include "vm/requestreader.h"
#include "base/steadyclock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::vm;
namespace asio = boost::asio;
using asio::ip::tcp;
using asynckit::awaitable;
using asynckit::error_code;
using asynckit::into;

namespace {

constexpr std::uint32_t HeaderBytes = 512;
constexpr std::uint64_t BodyBytes = 100;
constexpr std::size_t LongHeader = 1024;

/// A connection on loopback with a RequestReader at the server's end.
struct Fixture {
  asio::io_context Context_{1};
  tcp::acceptor Acceptor_{Context_, {asio::ip::address_v4::loopback(), 0}};
  tcp::socket CallerSocket_{Context_};
  tcp::socket ServerSocket_{Context_};
  base::SteadyClock Clock_;
  std::shared_ptr<CallerInput> Input_ =
      std::make_shared<CallerInput>(Context_, ServerSocket_, Clock_);
  RequestReader Reader_{*Input_};
  std::optional<RequestReader::HeadStatus> Head_;
  std::optional<std::string> Body_;

  Fixture() {
    CallerSocket_.connect(Acceptor_.local_endpoint());
    ServerSocket_ = Acceptor_.accept();
    Input_->start(nullptr);
  }

  awaitable<void> read() {
    traffic::CallerLimits Limits;
    Limits.HeaderBytes_ = HeaderBytes;
    Limits.BodyBytes_ = BodyBytes;
    Reader_.begin(Limits);
    co_await Reader_.awaitFirstByte();
    Head_ = co_await Reader_.readHead();
    if (Head_ != RequestReader::HeadStatus::Read)
      co_return;
    std::string Whole;
    for (;;) {
      const auto Piece = co_await Reader_.nextPiece();
      if (!Piece)
        co_return;
      if (Piece->empty())
        break;
      Whole += *Piece;
    }
    Body_ = Whole;
  }

  void readFrom(const std::string &Bytes) {
    asio::write(CallerSocket_, asio::buffer(Bytes));
    CallerSocket_.shutdown(tcp::socket::shutdown_send);
    asio::co_spawn(Context_, read(), asio::detached);
    Context_.run();
  }
};

bool isStatus(const std::optional<RequestReader::HeadStatus> &Found,
              RequestReader::HeadStatus Expected) {
  return Found == Expected;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(requestreadertest, Fixture)

BOOST_AUTO_TEST_CASE(readsBodyWithContentLength) {
  readFrom("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde");
  BOOST_TEST(isStatus(Head_, RequestReader::HeadStatus::Read));
  BOOST_TEST(Body_.value_or("none") == "abcde");
}

BOOST_AUTO_TEST_CASE(readsChunkedBody) {
  readFrom("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
           "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  BOOST_TEST(Body_.value_or("none") == "abcde");
}

BOOST_AUTO_TEST_CASE(rejectsTruncatedBody) {
  readFrom("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabc");
  BOOST_TEST(isStatus(Head_, RequestReader::HeadStatus::Read));
  BOOST_TEST(!Body_.has_value());
}

BOOST_AUTO_TEST_CASE(reportsHeaderTooLarge) {
  readFrom("GET /a HTTP/1.1\r\nHost: h\r\nLong: " +
           std::string(LongHeader, 'x') + "\r\n\r\n");
  BOOST_TEST(isStatus(Head_, RequestReader::HeadStatus::HeaderTooLarge));
}

BOOST_AUTO_TEST_CASE(reportsBodyTooLargeByContentLength) {
  readFrom("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n");
  BOOST_TEST(isStatus(Head_, RequestReader::HeadStatus::BodyTooLarge));
}

BOOST_AUTO_TEST_CASE(rejectsChunkedBodyAboveLimit) {
  readFrom("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
           "c8\r\n" +
           std::string(200, 'x') + "\r\n0\r\n\r\n");
  BOOST_TEST(!Body_.has_value());
}

BOOST_AUTO_TEST_CASE(reportsMalformedRequest) {
  readFrom("this is no request\r\n\r\n");
  BOOST_TEST(isStatus(Head_, RequestReader::HeadStatus::Malformed));
}

// A request with both a content length and chunked encoding could smuggle a
// second request in its body.
BOOST_AUTO_TEST_CASE(rejectsContentLengthWithTransferEncoding) {
  readFrom("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
           "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  BOOST_TEST(!isStatus(Head_, RequestReader::HeadStatus::Read));
}

BOOST_AUTO_TEST_CASE(reportsClosedConnectionAsEnded) {
  readFrom("");
  BOOST_TEST(isStatus(Head_, RequestReader::HeadStatus::Ended));
}

BOOST_AUTO_TEST_SUITE_END()
