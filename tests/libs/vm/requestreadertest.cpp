#include "vm/requestreader.h"

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

/// A reader at one end of a connection on loopback and raw bytes at the other.
struct Fixture {
  asio::io_context Context_{1};
  tcp::acceptor Acceptor_{Context_, {asio::ip::address_v4::loopback(), 0}};
  tcp::socket Caller_{Context_};
  tcp::socket Own_{Context_};
  RequestReader Reader_{Own_};
  std::optional<RequestReader::Head> Head_;
  std::optional<std::string> Body_;

  Fixture() {
    Caller_.connect(Acceptor_.local_endpoint());
    Own_ = Acceptor_.accept();
  }

  awaitable<void> read() {
    traffic::CallerLimits Limits;
    Limits.HeaderBytes_ = HeaderBytes;
    Limits.BodyBytes_ = BodyBytes;
    Reader_.begin(Limits);
    const bool HasByte = co_await Reader_.awaitFirstByte();
    if (!HasByte)
      co_return;
    Head_ = co_await Reader_.readHead();
    if (Head_ != RequestReader::Head::Read)
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

  void play(const std::string &Bytes) {
    asio::write(Caller_, asio::buffer(Bytes));
    Caller_.shutdown(tcp::socket::shutdown_send);
    asio::co_spawn(Context_, read(), asio::detached);
    Context_.run();
  }
};

bool is(const std::optional<RequestReader::Head> &Found,
        RequestReader::Head Expected) {
  return Found == Expected;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(requestreadertest, Fixture)

BOOST_AUTO_TEST_CASE(aBodyWithALengthIsReadWhole) {
  play("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde");
  BOOST_TEST(is(Head_, RequestReader::Head::Read));
  BOOST_TEST(Body_.value_or("none") == "abcde");
}

BOOST_AUTO_TEST_CASE(aChunkedBodyIsReadWhole) {
  play("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
       "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  BOOST_TEST(Body_.value_or("none") == "abcde");
}

BOOST_AUTO_TEST_CASE(aBodyThatBreaksOffIsNotWhole) {
  play("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabc");
  BOOST_TEST(is(Head_, RequestReader::Head::Read));
  BOOST_TEST(!Body_.has_value());
}

BOOST_AUTO_TEST_CASE(aLongHeaderIsToldApart) {
  play("GET /a HTTP/1.1\r\nHost: h\r\nLong: " + std::string(LongHeader, 'x') +
       "\r\n\r\n");
  BOOST_TEST(is(Head_, RequestReader::Head::HeaderTooLarge));
}

BOOST_AUTO_TEST_CASE(aBodyBeyondTheLimitIsToldByItsLength) {
  play("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n");
  BOOST_TEST(is(Head_, RequestReader::Head::BodyTooLarge));
}

BOOST_AUTO_TEST_CASE(aChunkedBodyBeyondTheLimitIsNotReadOn) {
  play("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
       "c8\r\n" +
       std::string(200, 'x') + "\r\n0\r\n\r\n");
  BOOST_TEST(!Body_.has_value());
}

BOOST_AUTO_TEST_CASE(whatIsNoRequestIsMalformed) {
  play("this is no request\r\n\r\n");
  BOOST_TEST(is(Head_, RequestReader::Head::Malformed));
}

// A length and chunks at once would let a second request hide in the body.
BOOST_AUTO_TEST_CASE(aBodyWithTwoLengthsIsRefused) {
  play("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  BOOST_TEST(!is(Head_, RequestReader::Head::Read));
}

BOOST_AUTO_TEST_CASE(aCallerThatLeavesIsNoFault) {
  play("");
  BOOST_TEST(is(Head_, RequestReader::Head::Ended));
}

BOOST_AUTO_TEST_SUITE_END()
