#include "httpkit/httpserver.h"

#include "httpkit/guardedsocket.h"
#include "httpkit/problem.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/ThreadPool.h>
#include <Poco/Timespan.h>
#include <glog/logging.h>

#include <sys/socket.h>

#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace ebony::httpkit {

namespace {

namespace net = Poco::Net;

constexpr int KeepAliveSeconds = 15;
constexpr int ReadTimeoutSeconds = 15;
constexpr int ListenBacklog = 256;

// Connections that were closed to make room and wait for a thread to end them.
constexpr int MaxEndingConnections = 64;

constexpr std::streamsize MaxDiscardedBytes = std::streamsize{16} << 20;

/// Counts the requests in flight.
class InFlightCounter {
public:
  void increment() {
    const std::lock_guard Guard(Lock_);
    ++Count_;
  }

  void decrement() {
    const std::lock_guard Guard(Lock_);
    --Count_;
    Changed_.notify_all();
  }

  void waitUntilZero(int TimeoutSeconds) {
    std::unique_lock Guard(Lock_);
    Changed_.wait_for(Guard, std::chrono::seconds(TimeoutSeconds),
                      [this] { return Count_ == 0; });
  }

private:
  std::mutex Lock_;
  std::condition_variable Changed_;
  int Count_ = 0;
};

/// Listening socket whose connections are guarded.
class GuardedListener final : public net::ServerSocketImpl {
public:
  explicit GuardedListener(ConnectionGuardPtr Guard)
      : Guard_(std::move(Guard)) {}

  net::SocketImpl *acceptConnection(net::SocketAddress &Client) override {
    sockaddr_storage Address{};
    socklen_t Length = sizeof(Address);
    int Handle = -1;
    do
      Handle = ::accept4(sockfd(), reinterpret_cast<sockaddr *>(&Address),
                         &Length, SOCK_CLOEXEC);
    while (Handle < 0 && errno == EINTR);
    if (Handle < 0)
      error(errno);
    Client = net::SocketAddress(reinterpret_cast<sockaddr *>(&Address), Length);
    return new GuardedSocket(Handle, Guard_);
  }

private:
  const ConnectionGuardPtr Guard_;
};

/// Handle of a GuardedListener.
class GuardedServerSocket final : public net::ServerSocket {
public:
  GuardedServerSocket(const wire::Endpoint &Listen, ConnectionGuardPtr Guard)
      : ServerSocket(new GuardedListener(std::move(Guard)), true) {
    impl()->bind(net::SocketAddress(Listen.Address_, Listen.Port_), true);
    impl()->listen(ListenBacklog);
  }
};

class RequestHandler final : public net::HTTPRequestHandler {
public:
  RequestHandler(const RequestFunction &Answer, InFlightCounter &InFlight)
      : Answer_(Answer), InFlight_(InFlight) {}

  void handleRequest(net::HTTPServerRequest &Request,
                     net::HTTPServerResponse &Response) override {
    InFlight_.increment();
    GuardedSocket *Socket = guardedSocket(Request);
    try {
      if (mayAnswer(*Socket, Response)) {
        Answer_(Request, Response);
        discardUnreadBody(Request, Response);
      }
    } catch (const std::exception &Error) {
      LOG(WARNING) << "request failed error=\"" << Error.what() << '"';
      Response.setKeepAlive(false);
      if (Response.sent())
        shutDownConnection(Request);
      else
        sendInternalProblem(Response);
    }
    Socket->endRequest();
    InFlight_.decrement();
  }

private:
  // The parser takes the end of the connection for the end of the head.
  static bool mayAnswer(GuardedSocket &Socket,
                        net::HTTPServerResponse &Response) {
    const GuardedSocket::HeadEnd End = Socket.endHead();
    if (End == GuardedSocket::HeadEnd::Complete)
      return true;
    Response.setKeepAlive(false);
    if (End == GuardedSocket::HeadEnd::TooLarge)
      sendProblem(Response, {431, Outcome::NotRun, "head-too-large",
                             "Send a smaller head.", std::nullopt});
    return false;
  }

  // Closing a connection with unread data resets it, and the response may be
  // lost. On an open connection, unread data would be parsed as the next
  // request.
  static void discardUnreadBody(net::HTTPServerRequest &Request,
                                net::HTTPServerResponse &Response) {
    Request.stream().ignore(MaxDiscardedBytes);
    if (!Request.stream().eof())
      Response.setKeepAlive(false);
  }

  // Else the end of the stream would write the last chunk of a response that is
  // not complete.
  static void shutDownConnection(net::HTTPServerRequest &Request) {
    try {
      dynamic_cast<net::HTTPServerRequestImpl &>(Request).socket().shutdown();
    } catch (const Poco::Exception &) {
      // The caller has disconnected already.
    }
  }

  static void sendInternalProblem(net::HTTPServerResponse &Response) {
    try {
      sendProblem(Response, {500, Outcome::Unknown, "internal",
                             "Look the request up before sending it again; "
                             "it may have run.",
                             std::nullopt});
    } catch (const Poco::Exception &) {
      // The connection is closed, so the error cannot be reported.
    }
  }

  const RequestFunction &Answer_;
  InFlightCounter &InFlight_;
};

class RequestHandlerFactory final : public net::HTTPRequestHandlerFactory {
public:
  RequestHandlerFactory(RequestFunction Answer, InFlightCounter &InFlight)
      : Answer_(std::move(Answer)), InFlight_(InFlight) {}

  net::HTTPRequestHandler *
  createRequestHandler(const net::HTTPServerRequest &) override {
    return new RequestHandler(Answer_, InFlight_);
  }

private:
  RequestFunction Answer_;
  InFlightCounter &InFlight_;
};

net::HTTPServerParams::Ptr newParameters(std::size_t MaxConnections) {
  net::HTTPServerParams::Ptr Parameters = new net::HTTPServerParams;
  Parameters->setKeepAlive(true);
  Parameters->setKeepAliveTimeout(Poco::Timespan(KeepAliveSeconds, 0));
  Parameters->setTimeout(Poco::Timespan(ReadTimeoutSeconds, 0));
  Parameters->setMaxThreads(static_cast<int>(MaxConnections));
  Parameters->setMaxQueued(static_cast<int>(MaxConnections) +
                           MaxEndingConnections);
  Parameters->setServerName("ebonycove");
  return Parameters;
}

} // namespace

class HttpServer::Implementation {
public:
  Implementation(const std::string &Name, const wire::Endpoint &Listen,
                 std::size_t MaxConnections,
                 telemetry::MetricsRegistry &Metrics, RequestFunction Answer)
      : Guard_(
            std::make_shared<ConnectionGuard>(Name, MaxConnections, Metrics)),
        Pool_(2, static_cast<int>(MaxConnections) + 2),
        Server_(new RequestHandlerFactory(std::move(Answer), InFlight_), Pool_,
                GuardedServerSocket(Listen, Guard_),
                newParameters(MaxConnections)) {}

  void start() { Server_.start(); }

  void stop(int TimeoutSeconds) {
    if (IsStopped_)
      return;
    IsStopped_ = true;
    Server_.stop();
    InFlight_.waitUntilZero(TimeoutSeconds);
    Server_.stopAll(true);
    Pool_.stopAll();
  }

private:
  InFlightCounter InFlight_;
  ConnectionGuardPtr Guard_;
  Poco::ThreadPool Pool_;
  net::HTTPServer Server_;
  bool IsStopped_ = false;
};

HttpServer::HttpServer(const std::string &Name, const wire::Endpoint &Listen,
                       std::size_t MaxConnections,
                       telemetry::MetricsRegistry &Metrics,
                       RequestFunction Answer)
    : Implementation_(std::make_unique<Implementation>(
          Name, Listen, MaxConnections, Metrics, std::move(Answer))) {}

HttpServer::~HttpServer() { Implementation_->stop(0); }

void HttpServer::start() { Implementation_->start(); }

void HttpServer::stopGracefully(int TimeoutSeconds) {
  Implementation_->stop(TimeoutSeconds);
}

} // namespace ebony::httpkit
