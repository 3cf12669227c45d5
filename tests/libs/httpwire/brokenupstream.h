#ifndef EBONY_TESTS_HTTPWIRE_BROKENUPSTREAM_H
#define EBONY_TESTS_HTTPWIRE_BROKENUPSTREAM_H

#include "asynckit/awaiting.h"
#include "libs/httpwire/brokenanswers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <chrono>

namespace ebony::httpwire {

/// Upstream on loopback that answers each request with the same bytes, and ends
/// its connection as they say.
class BrokenUpstream {
public:
  explicit BrokenUpstream(boost::asio::io_context &Context)
      : Context_(Context),
        Acceptor_(Context, {boost::asio::ip::address_v4::loopback(), 0}) {
    boost::asio::co_spawn(Context_, accept(), boost::asio::detached);
  }

  void setAnswer(BrokenAnswer Answer) { Answer_ = std::move(Answer); }
  /// Sets the pause before each repetition of what is sent without end.
  void setPause(std::chrono::milliseconds Pause) { Pause_ = Pause; }
  /// Has the upstream answer before it has read a request's body, and end its
  /// connection \p Delay later, or read the body first.
  void setAnswersEarly(bool IsEarly, std::chrono::milliseconds Delay = {}) {
    AnswersEarly_ = IsEarly;
    Delay_ = Delay;
  }
  std::uint16_t port() const { return Acceptor_.local_endpoint().port(); }
  /// Returns the number of connections on which a request came.
  int usedConnections() const { return UsedConnections_; }
  int requests() const { return Requests_; }
  /// Returns the number of bytes sent without end.
  std::size_t endlessBytes() const { return EndlessBytes_; }
  /// Returns whether the caller has ended each endless answer.
  bool isEnded() const { return Open_ == 0; }

private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  asynckit::awaitable<void> accept() {
    for (;;) {
      asynckit::error_code Error;
      auto Socket = co_await Acceptor_.async_accept(asynckit::into(Error));
      if (Error)
        co_return;
      boost::asio::co_spawn(Context_, serve(std::move(Socket)),
                            boost::asio::detached);
    }
  }

  asynckit::awaitable<void> serve(boost::asio::ip::tcp::socket Socket) {
    namespace http = boost::beast::http;
    boost::beast::flat_buffer Buffer;
    asynckit::error_code Error;
    for (bool IsFirst = true;; IsFirst = false) {
      Parser Request;
      Request.body_limit(UINT64_MAX);
      co_await http::async_read_header(Socket, Buffer, Request,
                                       asynckit::into(Error));
      if (!Error && !AnswersEarly_)
        co_await http::async_read(Socket, Buffer, Request,
                                  asynckit::into(Error));
      if (Error)
        co_return;
      ++Requests_;
      UsedConnections_ += IsFirst ? 1 : 0;
      const BrokenAnswer Answer = Answer_;
      const std::string Bytes = filledIn(Answer.Bytes_, Request.get());
      co_await boost::asio::async_write(Socket, boost::asio::buffer(Bytes),
                                        asynckit::into(Error));
      if (!Answer.Endless_.empty())
        co_await sendEndlessly(Socket, Answer.Endless_);
      if (Answer.Ending_ != Ending::KeptOpen)
        co_return co_await end(Socket, Answer.Ending_);
      if (Error || !Answer.Endless_.empty())
        co_return;
    }
  }

  asynckit::awaitable<void> end(boost::asio::ip::tcp::socket &Socket,
                                Ending How) {
    asynckit::error_code Ignored; // The connection ends either way.
    boost::asio::steady_timer Timer(Context_, Delay_);
    co_await Timer.async_wait(asynckit::into(Ignored));
    if (How == Ending::Reset)
      Socket.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
    Socket.close(Ignored);
  }

  asynckit::awaitable<void> sendEndlessly(boost::asio::ip::tcp::socket &Socket,
                                          const std::string &Bytes) {
    ++Open_;
    asynckit::error_code Error;
    while (!Error) {
      co_await boost::asio::async_write(Socket, boost::asio::buffer(Bytes),
                                        asynckit::into(Error));
      EndlessBytes_ += Bytes.size();
      if (Pause_.count() == 0)
        continue;
      boost::asio::steady_timer Timer(Context_, Pause_);
      asynckit::error_code Ignored; // The timer is never cancelled.
      co_await Timer.async_wait(asynckit::into(Ignored));
    }
    --Open_;
  }

  template <typename Fields>
  static std::string filledIn(std::string Bytes, const Fields &Request) {
    auto Id = Request["Id"];
    if (Id.empty())
      Id = Request["Ebony-Request-Id"];
    replaceAll(Bytes, "{id}", std::string(Id));
    const std::size_t HeadEnd = Bytes.find("\r\n\r\n");
    if (HeadEnd != std::string::npos)
      replaceAll(Bytes, "{length}", std::to_string(Bytes.size() - HeadEnd - 4));
    return Bytes;
  }

  static void replaceAll(std::string &Text, const std::string &Old,
                         const std::string &New) {
    for (std::size_t At = Text.find(Old); At != std::string::npos;
         At = Text.find(Old, At + New.size()))
      Text.replace(At, Old.size(), New);
  }

  boost::asio::io_context &Context_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  BrokenAnswer Answer_;
  bool AnswersEarly_ = false;
  std::chrono::milliseconds Delay_{};
  std::chrono::milliseconds Pause_{};
  std::atomic<int> UsedConnections_{0};
  std::atomic<int> Requests_{0};
  std::atomic<int> Open_{0};
  std::atomic<std::size_t> EndlessBytes_{0};
};

} // namespace ebony::httpwire

#endif
