#ifndef EBONY_TESTS_VM_FAKEUPSTREAM_H
#define EBONY_TESTS_VM_FAKEUPSTREAM_H

#include "asynckit/awaiting.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <string>
#include <vector>

namespace ebony::vm {

enum class FakeBehaviour {
  Answer,
  /// A response to another request precedes the expected one.
  StrayResponseFirst,
  CloseWithoutResponse,
  /// The connection closes before the body is complete.
  TruncatedResponse,
  Shed,
  /// Another upstream listens at the address.
  Misdirected,
  /// The process ends: it closes all connections and no longer listens.
  Crash,
  /// The following send without end until the connection is closed.
  EndlessHead,
  EndlessInterimResponses,
  EndlessStrayBody,
  EndlessChunkExtension,
};

using FakeRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

/// Upstream on loopback with configurable behaviour.
class FakeUpstream {
public:
  explicit FakeUpstream(boost::asio::io_context &Context)
      : Context_(Context),
        Acceptor_(Context, {boost::asio::ip::address_v4::loopback(), 0}) {}

  void start() {
    boost::asio::co_spawn(Context_, accept(), boost::asio::detached);
  }
  void setBehaviour(FakeBehaviour Behaviour) { Behaviour_ = Behaviour; }
  /// Delays each response until \p MayAnswer returns true for its request.
  void setMayAnswer(std::function<bool(const FakeRequest &)> MayAnswer) {
    MayAnswer_ = std::move(MayAnswer);
  }
  /// Answers with the bytes that \p MakeBytes returns for a request and its
  /// number on its connection; closes the connection then if \p Closes.
  void
  setRawResponse(std::function<std::string(const FakeRequest &, int)> MakeBytes,
                 bool Closes) {
    MakeBytes_ = std::move(MakeBytes);
    ClosesAfterBytes_ = Closes;
  }
  /// Adds complete header lines to each response.
  void setExtraFields(std::string Lines) { ExtraFields_ = std::move(Lines); }
  std::uint16_t port() const { return Acceptor_.local_endpoint().port(); }
  const std::vector<FakeRequest> &requests() const { return Requests_; }
  bool hasCrashed() const { return HasCrashed_; }
  int requestsInProgress() const { return InProgress_; }
  int answeredRequests() const { return Answered_; }
  /// Returns the number of bytes sent without end.
  std::size_t sentBytes() const { return SentBytes_; }

private:
  asynckit::awaitable<void> accept() {
    for (;;) {
      asynckit::error_code Error;
      auto Socket = co_await Acceptor_.async_accept(asynckit::into(Error));
      if (Error)
        co_return;
      Connections_.push_back(
          std::make_shared<boost::asio::ip::tcp::socket>(std::move(Socket)));
      boost::asio::co_spawn(Context_, serve(Connections_.back()),
                            boost::asio::detached);
    }
  }

  asynckit::awaitable<void>
  serve(std::shared_ptr<boost::asio::ip::tcp::socket> Connection) {
    boost::asio::ip::tcp::socket &Socket = *Connection;
    boost::beast::flat_buffer Buffer;
    asynckit::error_code Error;
    for (int Number = 1;; ++Number) {
      FakeRequest Request;
      co_await boost::beast::http::async_read(Socket, Buffer, Request,
                                              asynckit::into(Error));
      if (Error)
        co_return;
      Requests_.push_back(Request);
      ++InProgress_;
      while (MayAnswer_ && !MayAnswer_(Request)) {
        boost::asio::steady_timer Timer(Context_, std::chrono::milliseconds(1));
        co_await Timer.async_wait(asynckit::into(Error));
      }
      --InProgress_;
      if (Behaviour_ == FakeBehaviour::CloseWithoutResponse) {
        Socket.close(Error);
        co_return;
      }
      const std::string_view Target(Request.target().data(),
                                    Request.target().size());
      if (Behaviour_ == FakeBehaviour::Crash &&
          Target.find("crash") != std::string_view::npos) {
        crash();
        co_return;
      }
      if (Behaviour_ >= FakeBehaviour::EndlessHead) {
        co_await sendEndlessly(Socket);
        co_return;
      }
      const std::string Answer = MakeBytes_
                                     ? MakeBytes_(Request, Number)
                                     : responseTo(std::string(Request["Id"]));
      co_await boost::asio::async_write(Socket, boost::asio::buffer(Answer),
                                        asynckit::into(Error));
      ++Answered_;
      if (Error || Behaviour_ == FakeBehaviour::TruncatedResponse ||
          ClosesAfterBytes_) {
        Socket.close(Error);
        co_return;
      }
    }
  }

  void crash() {
    asynckit::error_code Ignored; // Closing is best effort.
    HasCrashed_ = true;
    Acceptor_.close(Ignored);
    for (const auto &Connection : Connections_)
      Connection->close(Ignored);
  }

  /// Sends bytes that are no answer until the caller closes the connection.
  asynckit::awaitable<void>
  sendEndlessly(boost::asio::ip::tcp::socket &Socket) {
    const std::string Filler(4096, 'x');
    std::string First = "HTTP/1.1 200 OK\r\nLong: ";
    std::string Next = Filler;
    if (Behaviour_ == FakeBehaviour::EndlessInterimResponses) {
      First = "HTTP/1.1 102 Processing\r\n\r\n";
      Next = First;
    } else if (Behaviour_ == FakeBehaviour::EndlessStrayBody) {
      First = "HTTP/1.1 200 OK\r\nId: other\r\nStamp: s\r\n"
              "Transfer-Encoding: chunked\r\n\r\n";
      Next = "1000\r\n" + Filler + "\r\n";
    } else if (Behaviour_ == FakeBehaviour::EndlessChunkExtension) {
      First = "HTTP/1.1 200 OK\r\nId: other\r\nStamp: s\r\n"
              "Transfer-Encoding: chunked\r\n\r\n1;a=";
    }
    asynckit::error_code Error;
    co_await boost::asio::async_write(Socket, boost::asio::buffer(First),
                                      asynckit::into(Error));
    while (!Error) {
      SentBytes_ += Next.size();
      co_await boost::asio::async_write(Socket, boost::asio::buffer(Next),
                                        asynckit::into(Error));
    }
  }

  std::string responseTo(const std::string &Id) const {
    const std::string Whole = "HTTP/1.1 200 OK\r\nId: " + Id + "\r\n" +
                              ExtraFields_ +
                              "Stamp: s\r\nContent-Length: 12\r\n\r\n";
    switch (Behaviour_) {
    case FakeBehaviour::StrayResponseFirst:
      return "HTTP/1.1 200 OK\r\nId: other\r\nStamp: s\r\n"
             "Content-Length: 5\r\n\r\nstray" +
             Whole + "whole answer";
    case FakeBehaviour::TruncatedResponse:
      return Whole + "whole";
    case FakeBehaviour::Shed:
      return "HTTP/1.1 503 Busy\r\nId: " + Id + "\r\n" + ExtraFields_ +
             "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    case FakeBehaviour::Misdirected:
      return "HTTP/1.1 421 Misdirected\r\nId: " + Id + "\r\n" + ExtraFields_ +
             "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    default:
      return Whole + "whole answer";
    }
  }

  boost::asio::io_context &Context_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  FakeBehaviour Behaviour_ = FakeBehaviour::Answer;
  std::string ExtraFields_;
  std::function<std::string(const FakeRequest &, int)> MakeBytes_;
  bool ClosesAfterBytes_ = false;
  std::function<bool(const FakeRequest &)> MayAnswer_;
  std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>> Connections_;
  bool HasCrashed_ = false;
  std::vector<FakeRequest> Requests_;
  int InProgress_ = 0;
  int Answered_ = 0;
  std::size_t SentBytes_ = 0;
};

} // namespace ebony::vm

#endif
