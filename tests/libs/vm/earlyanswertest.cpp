#include "libs/httpwire/brokenupstream.h"
#include "libs/vm/requestpathfixture.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::vm;
using namespace std::chrono_literals;
using httpwire::Ending;

namespace {

// What an upstream sends of its answer before its connection ends; the VM reads
// the shorter one whole before it passes anything on.
constexpr std::size_t ShortPart = 1000;
constexpr std::size_t LongPart = 100000;

/// What a caller has seen of a response.
struct Seen {
  unsigned Status_ = 0;
  /// Whether the response ended as its head said.
  bool IsComplete_ = false;
};

/// A VM whose upstreams answer an upload with a response that ends with its
/// connection.
struct Fixture : RequestPathFixture {
  httpwire::BrokenUpstream First_{Context_};
  httpwire::BrokenUpstream Second_{Context_};

  Fixture() {
    Rows_["upstreams"] = {{"one", std::to_string(First_.port()), 2, false},
                          {"two", std::to_string(Second_.port()), 3, false}};
  }

  void setAnswer(std::size_t PartBytes, Ending How) {
    const std::string Head =
        "HTTP/1.1 200 OK\r\n" + httpwire::ownFields() + "\r\n";
    for (httpwire::BrokenUpstream *Upstream : {&First_, &Second_})
      Upstream->setAnswer({"", Head + std::string(PartBytes, 'x'), How,
                           httpwire::Delivery::Failure});
  }

  void setAnswersEarly(bool IsEarly, std::chrono::milliseconds Delay) {
    for (httpwire::BrokenUpstream *Upstream : {&First_, &Second_})
      Upstream->setAnswersEarly(IsEarly, Delay);
  }

  /// Sends \p Bytes after the head \p Head while the response is read.
  asynckit::awaitable<Seen> upload(std::string Fields, std::size_t Bytes) {
    namespace http = boost::beast::http;
    const std::string Head =
        "POST /write/a HTTP/1.1\r\nHost: h\r\nLeft: 5000\r\nId: u" +
        std::to_string(++LastId_) + "\r\n" + Fields +
        "Content-Length: " + std::to_string(Bytes) + "\r\n\r\n";
    const auto Socket =
        std::make_shared<boost::asio::ip::tcp::socket>(Context_);
    asynckit::error_code Error;
    co_await Socket->async_connect(Acceptor_.local_endpoint(),
                                   asynckit::into(Error));
    boost::asio::co_spawn(
        Context_,
        [Socket, Head, Bytes]() -> asynckit::awaitable<void> {
          const std::string Text = Head + std::string(Bytes, 'b');
          asynckit::error_code Ignored; // The VM may refuse the rest.
          co_await boost::asio::async_write(*Socket, boost::asio::buffer(Text),
                                            asynckit::into(Ignored));
        },
        boost::asio::detached);
    boost::beast::flat_buffer Buffer;
    std::optional<http::response_parser<http::string_body>> Parser;
    do {
      Parser.emplace();
      co_await http::async_read(*Socket, Buffer, *Parser,
                                asynckit::into(Error));
    } while (!Error && Parser->get().result_int() == 100U);
    Seen Result;
    Result.Status_ = Parser->is_header_done() ? Parser->get().result_int() : 0;
    Result.IsComplete_ = !Error && Parser->is_done();
    asynckit::error_code Ignored; // Closing is best effort.
    Socket->close(Ignored);
    co_return Result;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(earlyanswertest, Fixture)

// Issue 50: a caller got the part of a response that had arrived when the
// upstream reset the connection as a whole one.
BOOST_AUTO_TEST_CASE(responseThatEndsDuringTheUploadIsNotWhole) {
  run([&]() -> asynckit::awaitable<void> {
    for (const std::size_t Bytes :
         {20000UL, 100000UL, 600000UL, 2000000UL, 10000000UL})
      for (const std::size_t Part : {ShortPart, LongPart})
        for (const Ending How : {Ending::Reset, Ending::Closed})
          for (const std::chrono::milliseconds Delay : {0ms, 3ms, 50ms})
            for (const char *Fields : {"", "Expect: 100-continue\r\n"}) {
              setAnswer(Part, How);
              setAnswersEarly(true, Delay);
              const Seen Result = co_await upload(Fields, Bytes);
              const bool IsWholeSuccess =
                  Result.IsComplete_ && Result.Status_ == 200U;
              BOOST_TEST(!IsWholeSuccess,
                         Bytes << " bytes, part " << Part << ", delay "
                               << Delay.count() << " ms, reset "
                               << (How == Ending::Reset) << " " << Fields);
              Clock_.advance(60s);
            }
  }());
}

// A connection that ends after the upload has been read ends the response.
BOOST_AUTO_TEST_CASE(responseThatEndsAfterTheUploadIsWhole) {
  run([&]() -> asynckit::awaitable<void> {
    for (const std::size_t Bytes : {0UL, 1UL, 20000UL, 2000000UL})
      for (const std::size_t Part : {ShortPart, LongPart}) {
        setAnswer(Part, Ending::Closed);
        setAnswersEarly(false, 0ms);
        const Seen Result = co_await upload("", Bytes);
        BOOST_TEST(Result.Status_ == 200U, Bytes);
        BOOST_TEST(Result.IsComplete_, Bytes);
        Clock_.advance(60s);
      }
  }());
}

// The head of a refusal says that the request did not run, however little of
// its body arrives.
BOOST_AUTO_TEST_CASE(refusalThatEndsDuringTheUploadIsStillOne) {
  run([&]() -> asynckit::awaitable<void> {
    for (const std::size_t Bytes : {100000UL, 2000000UL})
      for (const Ending How : {Ending::Reset, Ending::Closed}) {
        for (httpwire::BrokenUpstream *Upstream : {&First_, &Second_}) {
          Upstream->setAnswersEarly(true, 3ms);
          Upstream->setAnswer({"",
                               "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n" +
                                   httpwire::ownFields() + "\r\nbusy",
                               How, httpwire::Delivery::Failure});
        }
        const Seen Result = co_await upload("", Bytes);
        BOOST_TEST(Result.Status_ == 503U, Bytes);
        BOOST_TEST(Result.IsComplete_, Bytes);
        Clock_.advance(60s);
      }
  }());
}

BOOST_AUTO_TEST_SUITE_END()
