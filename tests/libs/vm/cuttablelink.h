#ifndef EBONY_TESTS_VM_CUTTABLELINK_H
#define EBONY_TESTS_VM_CUTTABLELINK_H

#include "asynckit/awaiting.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <vector>

namespace ebony::vm {

/// How a link is cut.
enum class CutKind {
  /// Connections are reset and new ones refused.
  Reset,
  /// Connections carry no more bytes and new ones are not answered.
  Hang,
  /// Connections live on and new ones are refused.
  HalfOpen,
};

/// Forwards the connections of one VM to one upstream on loopback until it is
/// cut.
class CuttableLink {
public:
  CuttableLink(boost::asio::io_context &Context, std::uint16_t UpstreamPort)
      : Context_(Context), UpstreamPort_(UpstreamPort), Acceptor_(Context) {
    bind(0);
    listen();
  }

  std::uint16_t port() const { return Port_; }

  void cut(CutKind Kind) {
    Kind_ = Kind;
    IsCut_ = true;
    if (Kind == CutKind::Hang) {
      refillBacklog();
      return;
    }
    // Bound without listening, the port refuses connections and is not given
    // to another process.
    bind(Port_);
    if (Kind == CutKind::Reset)
      resetAll();
  }

  void mend() {
    Fillers_.clear();
    resetAll();
    IsCut_ = false;
    bind(Port_);
    listen();
  }

private:
  using tcp = boost::asio::ip::tcp;
  using SocketPtr = std::shared_ptr<tcp::socket>;

  static constexpr std::size_t ForwardedBytes = 16384;

  void bind(std::uint16_t Port) {
    asynckit::error_code Ignored; // Closing is best effort.
    Acceptor_.close(Ignored);
    Acceptor_.open(tcp::v4());
    Acceptor_.set_option(tcp::acceptor::reuse_address(true));
    Acceptor_.bind({boost::asio::ip::address_v4::loopback(), Port});
    Port_ = Acceptor_.local_endpoint().port();
  }

  void listen() {
    Acceptor_.listen();
    boost::asio::co_spawn(Context_, accept(), boost::asio::detached);
  }

  // A queue without room drops further attempts to connect.
  void refillBacklog() {
    asynckit::error_code Ignored; // The pending accept ends with an error.
    Acceptor_.cancel(Ignored);
    Acceptor_.listen(0, Ignored);
    for (int I = 0; I < 3; ++I) {
      Fillers_.push_back(std::make_shared<tcp::socket>(Context_));
      Fillers_.back()->async_connect(Acceptor_.local_endpoint(),
                                     [](asynckit::error_code) {});
    }
  }

  void resetAll() {
    asynckit::error_code Ignored; // Closing is best effort.
    for (const SocketPtr &Socket : Sockets_) {
      Socket->set_option(boost::asio::socket_base::linger(true, 0), Ignored);
      Socket->close(Ignored);
    }
    Sockets_.clear();
  }

  bool isStalled() const { return IsCut_ && Kind_ == CutKind::Hang; }

  asynckit::awaitable<void> accept() {
    for (;;) {
      asynckit::error_code Error;
      auto Near = std::make_shared<tcp::socket>(
          co_await Acceptor_.async_accept(asynckit::into(Error)));
      if (Error)
        co_return;
      auto Far = std::make_shared<tcp::socket>(Context_);
      co_await Far->async_connect(
          {boost::asio::ip::address_v4::loopback(), UpstreamPort_},
          asynckit::into(Error));
      // The link may have been cut meanwhile.
      if (Error || (IsCut_ && Kind_ == CutKind::Reset)) {
        Near->close(Error);
        Far->close(Error);
        continue;
      }
      Sockets_.push_back(Near);
      Sockets_.push_back(Far);
      boost::asio::co_spawn(Context_, forward(Near, Far),
                            boost::asio::detached);
      boost::asio::co_spawn(Context_, forward(Far, Near),
                            boost::asio::detached);
    }
  }

  asynckit::awaitable<void> forward(SocketPtr From, SocketPtr To) {
    std::vector<char> Bytes(ForwardedBytes);
    boost::asio::steady_timer Timer(Context_);
    for (;;) {
      asynckit::error_code Error;
      const std::size_t Size = co_await From->async_read_some(
          boost::asio::buffer(Bytes), asynckit::into(Error));
      while (isStalled()) {
        Timer.expires_after(std::chrono::milliseconds(5));
        asynckit::error_code Ignored; // The timer is never cancelled.
        co_await Timer.async_wait(asynckit::into(Ignored));
      }
      if (!Error)
        co_await boost::asio::async_write(
            *To, boost::asio::buffer(Bytes.data(), Size),
            asynckit::into(Error));
      if (Error) {
        From->close(Error);
        To->close(Error);
        co_return;
      }
    }
  }

  boost::asio::io_context &Context_;
  std::uint16_t UpstreamPort_;
  tcp::acceptor Acceptor_;
  std::uint16_t Port_ = 0;
  CutKind Kind_ = CutKind::Reset;
  bool IsCut_ = false;
  std::vector<SocketPtr> Sockets_;
  std::vector<SocketPtr> Fillers_;
};

} // namespace ebony::vm

#endif
