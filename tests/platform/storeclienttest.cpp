#include "platform/storeclient.h"
#include "asynckit/awaiting.h"
#include "platform/jsonaccess.h"
#include "store/position.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>

using namespace ebony;
using namespace ebony::adapter;
using asynckit::awaitable;
using asynckit::error_code;
using asynckit::into;
using store::StoreStatus;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/// A store on loopback that sends prepared answers in turn.
struct Fixture {
  asio::io_context Context_{1};
  tcp::acceptor Acceptor_{Context_, {asio::ip::address_v4::loopback(), 0}};
  std::shared_ptr<StoreEra> Era_ = std::make_shared<StoreEra>();
  StoreClient Client_{Context_, Acceptor_.local_endpoint(), Era_};
  std::deque<std::string> Answers_;
  std::vector<std::string> Targets_;

  Fixture() { asio::co_spawn(Context_, accept(), asio::detached); }

  awaitable<void> accept() {
    for (;;) {
      error_code Error;
      tcp::socket Socket = co_await Acceptor_.async_accept(into(Error));
      if (Error)
        co_return;
      asio::co_spawn(Context_, serve(std::move(Socket)), asio::detached);
    }
  }

  awaitable<void> serve(tcp::socket Socket) {
    boost::beast::flat_buffer Buffer;
    error_code Error;
    for (;;) {
      http::request<http::string_body> Request;
      co_await http::async_read(Socket, Buffer, Request, into(Error));
      if (Error)
        co_return;
      Targets_.emplace_back(Request.target());
      if (Answers_.empty())
        co_return;
      const std::string Answer = Answers_.front();
      Answers_.pop_front();
      co_await asio::async_write(Socket, asio::buffer(Answer), into(Error));
    }
  }

  void answer(int Era, const std::string &Body, int Status = 200) {
    Answers_.push_back("HTTP/1.1 " + std::to_string(Status) +
                       " X\r\nStore-Era: " + std::to_string(Era) +
                       "\r\nContent-Length: " + std::to_string(Body.size()) +
                       "\r\n\r\n" + Body);
  }

  store::RowsResult run(awaitable<store::RowsResult> Call) {
    store::RowsResult Result;
    asio::co_spawn(
        Context_,
        [&]() -> awaitable<void> {
          Result = co_await std::move(Call);
          Context_.stop();
        },
        asio::detached);
    Context_.run();
    Context_.restart();
    return Result;
  }

  StoreStatus write(std::int64_t Expected) {
    StoreStatus Result = StoreStatus::Malformed;
    asio::co_spawn(
        Context_,
        [&]() -> awaitable<void> {
          Result = co_await Client_.write("t", "k", "v", Expected);
          Context_.stop();
        },
        asio::detached);
    Context_.run();
    Context_.restart();
    return Result;
  }
};

const char *const OneRow =
    R"({"rows":[{"key":"k","value":"","versionNumber":7}],"versionNumber":9})";

bool isStatus(const store::RowsResult &Result, StoreStatus Expected) {
  return Result.Status_ == Expected;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(storeclienttest, Fixture)

BOOST_AUTO_TEST_CASE(positionsCarryTheEra) {
  answer(3, OneRow);
  const store::RowsResult Result = run(Client_.readAll("t"));
  BOOST_TEST_REQUIRE(isStatus(Result, StoreStatus::Done));
  BOOST_TEST(Result.Rows_.Version_ == store::makePosition(3, 9));
  BOOST_TEST(Result.Rows_.Rows_.front().Version_ == store::makePosition(3, 7));
}

// The store came back from an older copy and has given out versions up to the
// reader's again, so it finds nothing wrong with the question.
BOOST_AUTO_TEST_CASE(changesOfAnotherEraAreNoChanges) {
  answer(1, OneRow);
  run(Client_.readAll("t"));
  answer(2, OneRow);
  const std::int64_t After = store::makePosition(1, 9);
  BOOST_TEST(isStatus(run(Client_.readChanges("t", After, {})),
                      StoreStatus::HistoryGone));
  BOOST_TEST(Targets_.back().find("after=9&") != std::string::npos);
  BOOST_TEST(Era_->Newest_ == 2);
  // Once the new era is known, no call is needed to tell.
  BOOST_TEST(isStatus(run(Client_.readChanges("t", After, {})),
                      StoreStatus::HistoryGone));
  BOOST_TEST(Targets_.size() == 2U);
}

BOOST_AUTO_TEST_CASE(answerOfEarlierEraIsNone) {
  Era_->Newest_ = 2;
  answer(1, OneRow);
  BOOST_TEST(isStatus(run(Client_.readAll("t")), StoreStatus::NoAnswer));
  BOOST_TEST(Era_->Newest_ == 2);
}

// The version in the condition may belong to another content by now.
BOOST_AUTO_TEST_CASE(conditionOfEarlierEraIsNotSent) {
  Era_->Newest_ = 2;
  BOOST_TEST(
      (write(store::makePosition(1, 9)) == StoreStatus::ConditionFailed));
  BOOST_TEST(Targets_.empty());
  answer(2, "{}");
  BOOST_TEST((write(store::makePosition(2, 9)) == StoreStatus::Done));
}

// A store that sends the same page again and again, whatever is asked for.
BOOST_AUTO_TEST_CASE(wholeReadEndsAtPageWithoutProgress) {
  const auto PageOf = [](const std::string &Row) {
    return R"({"rows":[)" + Row + R"(],"hasMore":true,"versionNumber":9})";
  };
  const std::string Row = R"({"key":"k1","value":"","versionNumber":7})";
  for (const std::string &Later :
       {Row, std::string(), std::string(R"({"key":"j","versionNumber":7})")}) {
    Targets_.clear();
    Answers_.clear();
    answer(0, PageOf(Row));
    constexpr int Copies = 50;
    for (int I = 0; I < Copies; ++I)
      answer(0, PageOf(Later));
    const store::RowsResult Result = run(Client_.readAll("t"));
    BOOST_TEST(isStatus(Result, StoreStatus::Malformed), Later);
    BOOST_TEST(Targets_.size() == 2U, Later);
    BOOST_TEST(!Result.Problem_.empty(), Later);
  }
}

// Pages that make progress without end must not fill the memory.
BOOST_AUTO_TEST_CASE(wholeReadEndsAtLimitOfTable) {
  // 64 MiB of rows in pages of 1 MiB.
  constexpr int MaxPages = 66;
  const std::string Value = toBase64(std::string(1UL << 20, 'v'));
  for (int I = 0; I < 2 * MaxPages; ++I)
    answer(0, R"({"rows":[{"key":"k)" + std::to_string(1000 + I) +
                  R"(","versionNumber":7,"value":")" + Value +
                  R"("}],"hasMore":true,"versionNumber":9})");
  const store::RowsResult Result = run(Client_.readAll("t"));
  BOOST_TEST(isStatus(Result, StoreStatus::Malformed));
  BOOST_TEST(Targets_.size() <= static_cast<std::size_t>(MaxPages));
}

BOOST_AUTO_TEST_SUITE_END()
