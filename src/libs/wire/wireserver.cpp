#include "wire/wireserver.h"

#include "wire/limits.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace ebony::wire {

namespace {

namespace protocol = apache::thrift::protocol;
namespace server = apache::thrift::server;
namespace transport = apache::thrift::transport;

/// Creates framed transports with the limits of wireConfiguration().
class LimitedTransportFactory final : public transport::TTransportFactory {
public:
  std::shared_ptr<transport::TTransport>
  getTransport(std::shared_ptr<transport::TTransport> Inner) override {
    return std::make_shared<transport::TFramedTransport>(Inner,
                                                         wireConfiguration());
  }
};

/// Lets start() wait until the address is bound or binding has failed.
class ListeningSignal final : public server::TServerEventHandler {
public:
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
  std::mutex Lock_;
  std::condition_variable Changed_;
  bool IsListening_ = false;
  std::exception_ptr Error_;
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
      : Signal_(std::make_shared<ListeningSignal>()),
        Server_(Processor, newListener(Listen),
                std::make_shared<LimitedTransportFactory>(),
                std::make_shared<protocol::TCompactProtocolFactory>()) {
    Server_.setConcurrentClientLimit(static_cast<std::int64_t>(MaxConnections));
    Server_.setServerEventHandler(Signal_);
  }

  void start() {
    Thread_ = std::thread([this] { serve(); });
    Signal_->wait();
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
      Signal_->fail(std::current_exception());
    }
  }

  std::shared_ptr<ListeningSignal> Signal_;
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
