#include "libs/vm/requestpathfixture.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::vm;

namespace {

constexpr const char *RefusalOf = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n"
                                  "Content-Length: 0\r\nId: ";
constexpr const char *AnswerTo = "HTTP/1.1 200 OK\r\nStamp: s\r\n"
                                 "Content-Length: 2\r\nId: ";

/// Both upstreams refuse a request when they see its id for the first time.
/// Later they run it, and write the refusal once more if it came on a
/// connection that has been used.
struct Fixture : RequestPathFixture {
  int Runs_ = 0;
  std::map<std::pair<int, std::string>, int> Seen_;
  std::vector<TestResponse> Responses_;

  Fixture() {
    int Upstream = 0;
    for (FakeUpstream *One : {&FirstUpstream_, &SecondUpstream_}) {
      One->setRawResponse(
          [this, Upstream](const FakeRequest &Request, int Number) {
            const std::string Id(Request["Id"]);
            std::string Refusal = RefusalOf + Id + "\r\n\r\n";
            if (++Seen_[{Upstream, Id}] == 1)
              return Refusal;
            ++Runs_;
            return (Number > 1 ? Refusal : "") + AnswerTo + Id + "\r\n\r\nok";
          },
          false);
      ++Upstream;
    }
  }

  asynckit::awaitable<void> call(const std::string &Target,
                                 const std::string &Id) {
    asynckit::error_code Error;
    boost::asio::ip::tcp::socket Socket(Context_);
    co_await Socket.async_connect(Acceptor_.local_endpoint(),
                                  asynckit::into(Error));
    const std::string Request = "GET " + Target +
                                " HTTP/1.1\r\nHost: h\r\nId: " + Id +
                                "\r\nObject: 7\r\nLeft: 5000\r\n\r\n";
    co_await boost::asio::async_write(Socket, boost::asio::buffer(Request),
                                      asynckit::into(Error));
    boost::beast::flat_buffer Buffer;
    TestResponse Response;
    co_await boost::beast::http::async_read(Socket, Buffer, Response,
                                            asynckit::into(Error));
    BOOST_TEST(!Error);
    Responses_.push_back(Response);
  }

  asynckit::awaitable<void> repeat(std::string Target, int Others) {
    co_await awaitReady();
    co_await call(Target, "same");
    for (int I = 0; I < Others; ++I)
      co_await call(Target, "other" + std::to_string(I));
    co_await call(Target, "same");
    Context_.stop();
  }

  void checkRepeat(int Others) {
    boost::asio::co_spawn(Context_, repeat("/write/a", Others),
                          boost::asio::detached);
    Context_.run();
    BOOST_TEST(Responses_.front().result_int() == 503U);
    BOOST_TEST(Responses_.back().result_int() == 200U);
    BOOST_TEST(Runs_ == 1);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(laterefusaltest, Fixture)

// A caller repeats a refused request under its id. The refusal of the first
// attempt, written once more, must not be taken for the answer to the second.
BOOST_AUTO_TEST_CASE(earlierRefusalIsNoAnswerToRepeat) { checkRepeat(0); }

BOOST_AUTO_TEST_CASE(earlierRefusalIsNoAnswerToRepeatAfterOtherRequests) {
  checkRepeat(3);
}

BOOST_AUTO_TEST_SUITE_END()
