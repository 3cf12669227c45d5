#include "libs/vm/requestpathfixture.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::vm;

namespace {

std::string request(const std::string &Id, const std::string &Target,
                    const std::string &Method = "GET",
                    const std::string &Fields = "") {
  return Method + " " + Target + " HTTP/1.1\r\nHost: h\r\nId: " + Id +
         "\r\nObject: 7\r\nLeft: 4000\r\n" + Fields + "\r\n";
}

/// A caller that sends several requests before it reads the first response.
struct Fixture : RequestPathFixture {
  std::vector<TestResponse> Responses_;
  bool HasConnectionEnded_ = false;
  /// Called once the requests are sent.
  std::function<void()> OnSent_;

  Fixture() {
    const auto MayAnswer = [this](const FakeRequest &Request) {
      return MayAnswer_(Request);
    };
    FirstUpstream_.setMayAnswer(MayAnswer);
    SecondUpstream_.setMayAnswer(MayAnswer);
  }

  std::function<bool(const FakeRequest &)> MayAnswer_ =
      [](const FakeRequest &) { return true; };

  int answeredRequests() const {
    return FirstUpstream_.answeredRequests() +
           SecondUpstream_.answeredRequests();
  }

  int requestsInProgress() const {
    return FirstUpstream_.requestsInProgress() +
           SecondUpstream_.requestsInProgress();
  }

  bool wasReceived(const std::string &Id) const {
    for (const FakeUpstream *Upstream : {&FirstUpstream_, &SecondUpstream_})
      for (const FakeRequest &Each : Upstream->requests())
        if (Each["Id"] == Id)
          return true;
    return false;
  }

  asynckit::awaitable<void> call(std::string Bytes, std::size_t Count) {
    co_await awaitReady();
    asynckit::error_code Error;
    boost::asio::ip::tcp::socket Socket(Context_);
    co_await Socket.async_connect(Acceptor_.local_endpoint(),
                                  asynckit::into(Error));
    co_await boost::asio::async_write(Socket, boost::asio::buffer(Bytes),
                                      asynckit::into(Error));
    if (OnSent_)
      OnSent_();
    boost::beast::flat_buffer Buffer;
    while (Responses_.size() < Count) {
      TestResponse Answer;
      co_await boost::beast::http::async_read(Socket, Buffer, Answer,
                                              asynckit::into(Error));
      if (Error)
        break;
      Responses_.push_back(Answer);
    }
    // One byte more, or the end of the connection.
    char Byte = 0;
    if (!Responses_.empty() && !Responses_.back().keep_alive())
      co_await Socket.async_read_some(boost::asio::buffer(&Byte, 1),
                                      asynckit::into(Error));
    HasConnectionEnded_ = Error == boost::asio::error::eof;
    Context_.stop();
  }

  void callWith(const std::string &Bytes, std::size_t Count) {
    boost::asio::co_spawn(Context_, call(Bytes, Count), boost::asio::detached);
    Context_.run();
  }

  std::string ids() const {
    std::string Result;
    for (const TestResponse &Each : Responses_)
      Result += std::string(Each["Id"]) + ":" +
                std::to_string(Each.result_int()) + " ";
    return Result;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(pipelinetest, Fixture)

// The first response is available only after the third request has reached an
// upstream, which never happens if requests are processed one after another.
BOOST_AUTO_TEST_CASE(processesRequestsTogetherAndAnswersInOrder) {
  MayAnswer_ = [this](const FakeRequest &Request) {
    return Request["Id"] != "a" || answeredRequests() >= 2;
  };
  callWith(request("a", "/read/1") + request("b", "/read/2") +
               request("c", "/read/3"),
           3);
  BOOST_TEST(ids() == "a:200 b:200 c:200 ");
  BOOST_TEST(!HasConnectionEnded_);
}

// A response that closes the connection makes the caller repeat what it sent
// behind it, so a request that must not be repeated waits for its turn.
BOOST_AUTO_TEST_CASE(processesAtMostOnceRequestAlone) {
  int AnsweredBeforeWrite = -1;
  bool WasReadDuringWrite = false;
  MayAnswer_ = [&](const FakeRequest &Request) {
    if (Request["Id"] == "w") {
      if (AnsweredBeforeWrite < 0)
        AnsweredBeforeWrite = answeredRequests();
      WasReadDuringWrite = WasReadDuringWrite || wasReceived("c");
    }
    return true;
  };
  callWith(request("a", "/read/1") + request("b", "/read/2") +
               request("w", "/write/3", "POST", "Content-Length: 3\r\n") +
               "abc" + request("c", "/read/4"),
           4);
  BOOST_TEST(ids() == "a:200 b:200 w:200 c:200 ");
  BOOST_TEST(AnsweredBeforeWrite == 2);
  BOOST_TEST(!WasReadDuringWrite);
}

BOOST_AUTO_TEST_CASE(answersRefusedRequestInItsTurn) {
  callWith(request("a", "/read/1") + request("b", "/none/2") +
               request("c", "/read/3"),
           3);
  BOOST_TEST(ids() == "a:200 b:404 c:200 ");
}

BOOST_AUTO_TEST_CASE(passesOnNothingBehindMalformedRequest) {
  callWith(request("a", "/read/1") + "no request\r\n\r\n" +
               request("c", "/read/3"),
           3);
  BOOST_TEST(ids() == "a:200 :400 ");
  BOOST_TEST(HasConnectionEnded_);
  BOOST_TEST(!wasReceived("c"));
}

BOOST_AUTO_TEST_CASE(passesOnNothingBehindRequestThatCloses) {
  callWith(request("a", "/read/1") +
               request("b", "/read/2", "GET", "Connection: close\r\n") +
               request("c", "/read/3"),
           3);
  BOOST_TEST(ids() == "a:200 b:200 ");
  BOOST_TEST(HasConnectionEnded_);
  BOOST_TEST(!wasReceived("c"));
}

BOOST_AUTO_TEST_CASE(limitsRequestsInProgress) {
  int MaxInProgress = 0;
  MayAnswer_ = [&](const FakeRequest &) {
    MaxInProgress = std::max(MaxInProgress, requestsInProgress());
    return true;
  };
  constexpr int Count = 30;
  std::string Bytes;
  for (int I = 0; I < Count; ++I)
    Bytes += request(std::to_string(I), "/read/1");
  callWith(Bytes, Count);
  BOOST_TEST(Responses_.size() == std::size_t(Count));
  BOOST_TEST(MaxInProgress <=
             static_cast<int>(State_->Settings_.MaxPipelinedRequests_));
  for (int I = 0; I < static_cast<int>(Responses_.size()); ++I)
    BOOST_TEST(std::string(Responses_[I]["Id"]) == std::to_string(I));
}

// A stop that begins while several requests are processed answers all of them;
// only the last response closes the connection.
BOOST_AUTO_TEST_CASE(answersAllRequestsDuringStop) {
  MayAnswer_ = [this](const FakeRequest &) {
    if (requestsInProgress() == 3)
      State_->IsStopping_ = true;
    return State_->IsStopping_;
  };
  callWith(request("a", "/read/1") + request("b", "/read/2") +
               request("c", "/read/3"),
           3);
  BOOST_TEST(ids() == "a:200 b:200 c:200 ");
  BOOST_TEST(HasConnectionEnded_);
  BOOST_TEST_REQUIRE(Responses_.size() == 3U);
  BOOST_TEST(Responses_[0].keep_alive());
  BOOST_TEST(!Responses_[2].keep_alive());
}

// The end of the connection is noticed behind bytes that are not parsed yet.
BOOST_AUTO_TEST_CASE(abandonsAllRequestsOfDisconnectedCaller) {
  MayAnswer_ = [](const FakeRequest &) { return false; };
  const auto Leave = [this]() -> asynckit::awaitable<void> {
    co_await awaitReady();
    asynckit::error_code Error;
    boost::asio::ip::tcp::socket Socket(Context_);
    co_await Socket.async_connect(Acceptor_.local_endpoint(),
                                  asynckit::into(Error));
    std::string Bytes;
    for (int I = 0; I < 20; ++I)
      Bytes += request(std::to_string(I), "/read/1");
    co_await boost::asio::async_write(Socket, boost::asio::buffer(Bytes),
                                      asynckit::into(Error));
    while (requestsInProgress() == 0)
      co_await pause(std::chrono::milliseconds(1));
    Socket.close(Error);
    int InFlight = 1;
    for (int Tries = 0; InFlight > 0 && Tries < 1000; ++Tries) {
      InFlight = 0;
      for (const auto &[Name, Upstream] : State_->Upstreams_.all())
        InFlight += Upstream->InFlight_;
      co_await pause(std::chrono::milliseconds(1));
    }
    BOOST_TEST(InFlight == 0);
    BOOST_TEST(State_->Dispatcher_.waitingCount() == 0U);
    Context_.stop();
  };
  boost::asio::co_spawn(Context_, Leave(), boost::asio::detached);
  Context_.run();
}

BOOST_AUTO_TEST_SUITE_END()
