#include "wire/wireserver.h"

#include "base/connectionactivity.h"
#include "base/steadyclock.h"
#include "wire/limits.h"

#include <boost/intrusive/list.hpp>
#include <glog/logging.h>
#include <sys/socket.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>
#include <thrift/transport/TSocket.h>

#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

namespace ebony::wire {

namespace {

// Least time between two log lines about the same limit.
constexpr double LogIntervalSeconds = 1;

namespace protocol = apache::thrift::protocol;
namespace server = apache::thrift::server;
namespace transport = apache::thrift::transport;

/// Creates framed transports with the limits of wireConfiguration().
class LimitedTransportFactory final : public transport::TTransportFactory {
public:
  std::shared_ptr<transport::TTransport>
  getTransport(std::shared_ptr<transport::TTransport> Inner) override {
    return std::make_shared<transport::TFramedTransport>(
        Inner, wireConfiguration(MaxRequestFrameBytes));
  }
};

/// A connection of a client.
struct ClientConnection
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
  explicit ClientConnection(std::shared_ptr<transport::TSocket> Socket)
      : Socket_(std::move(Socket)) {}
  const base::ConnectionActivity &activity() const { return Activity_; }

  std::shared_ptr<transport::TSocket> Socket_;
  base::ConnectionActivity Activity_;
  /// Whether a message is or was waited for.
  bool IsWaiting_ = false;
};

/// Lets start() wait until the address is bound or binding has failed, and
/// keeps one connection free by closing the least active one: the server takes
/// no further connection while all are in use.
class ServerObserver final : public server::TServerEventHandler {
public:
  explicit ServerObserver(std::size_t MaxConnections)
      : MaxConnections_(MaxConnections) {}

  void *createContext(std::shared_ptr<protocol::TProtocol> Input,
                      std::shared_ptr<protocol::TProtocol>) override {
    const auto Framed = std::dynamic_pointer_cast<transport::TFramedTransport>(
        Input->getTransport());
    auto Client = std::make_unique<ClientConnection>(
        std::dynamic_pointer_cast<transport::TSocket>(
            Framed->getUnderlyingTransport()));
    const std::lock_guard Guard(Lock_);
    Client->Activity_ = {base::ConnectionUse::Unused, Clock_.now()};
    Connections_.push_back(*Client);
    if (Connections_.size() >= MaxConnections_)
      closeLeastActive();
    return Client.release();
  }

  void deleteContext(void *Context, std::shared_ptr<protocol::TProtocol>,
                     std::shared_ptr<protocol::TProtocol>) override {
    const std::lock_guard Guard(Lock_);
    const std::unique_ptr<ClientConnection> Client(
        static_cast<ClientConnection *>(Context));
  }

  // Called before each message is read, the first included.
  void processContext(void *Context,
                      std::shared_ptr<transport::TTransport>) override {
    const std::lock_guard Guard(Lock_);
    auto &Client = *static_cast<ClientConnection *>(Context);
    const bool HasRead = std::exchange(Client.IsWaiting_, true);
    if (HasRead)
      Client.Activity_ = {base::ConnectionUse::Idle, Clock_.now()};
  }

  void preServe() override {
    const std::lock_guard Guard(Lock_);
    IsListening_ = true;
    Changed_.notify_all();
  }

  void fail(std::exception_ptr Error) {
    const std::lock_guard Guard(Lock_);
    Error_ = std::move(Error);
    Changed_.notify_all();
  }

  void wait() {
    std::unique_lock Guard(Lock_);
    Changed_.wait(Guard, [this] { return IsListening_ || Error_; });
    if (Error_)
      std::rethrow_exception(Error_);
  }

private:
  void closeLeastActive() {
    ClientConnection *Least = base::findLeastActive(Connections_);
    // It is no longer counted, although its thread ends later.
    Least->unlink();
    ::shutdown(Least->Socket_->getSocketFD(), SHUT_RDWR);
    LOG_EVERY_T(WARNING, LogIntervalSeconds)
        << "connection closed to make room for another server=messages limit="
        << MaxConnections_;
  }

  const std::size_t MaxConnections_;
  const base::SteadyClock Clock_;
  std::mutex Lock_;
  std::condition_variable Changed_;
  bool IsListening_ = false;
  std::exception_ptr Error_;
  boost::intrusive::list<ClientConnection,
                         boost::intrusive::constant_time_size<false>>
      Connections_;
};

std::shared_ptr<transport::TServerSocket> newListener(const Endpoint &Listen) {
  constexpr int IdleTimeoutMillis = 60'000;
  constexpr int SendTimeoutMillis = 5'000;
  auto Socket =
      std::make_shared<transport::TServerSocket>(Listen.Address_, Listen.Port_);
  Socket->setRecvTimeout(IdleTimeoutMillis);
  Socket->setSendTimeout(SendTimeoutMillis);
  Socket->setInterruptableChildren(true);
  return Socket;
}

} // namespace

class WireServer::Implementation {
public:
  Implementation(const Endpoint &Listen,
                 const std::shared_ptr<apache::thrift::TProcessor> &Processor,
                 std::size_t MaxConnections)
      : Observer_(std::make_shared<ServerObserver>(MaxConnections)),
        Server_(Processor, newListener(Listen),
                std::make_shared<LimitedTransportFactory>(),
                std::make_shared<protocol::TCompactProtocolFactory>()) {
    Server_.setConcurrentClientLimit(static_cast<std::int64_t>(MaxConnections));
    Server_.setServerEventHandler(Observer_);
  }

  void start() {
    Thread_ = std::thread([this] { serve(); });
    Observer_->wait();
  }

  void stop() {
    if (!Thread_.joinable())
      return;
    Server_.stop();
    Thread_.join();
  }

private:
  void serve() {
    try {
      Server_.serve();
    } catch (...) {
      Observer_->fail(std::current_exception());
    }
  }

  std::shared_ptr<ServerObserver> Observer_;
  server::TThreadedServer Server_;
  std::thread Thread_;
};

WireServer::WireServer(
    const Endpoint &Listen,
    const std::shared_ptr<apache::thrift::TProcessor> &Processor,
    std::size_t MaxConnections)
    : Implementation_(std::make_unique<Implementation>(Listen, Processor,
                                                       MaxConnections)) {}

WireServer::~WireServer() { stop(); }

void WireServer::start() { Implementation_->start(); }

void WireServer::stop() { Implementation_->stop(); }

} // namespace ebony::wire
