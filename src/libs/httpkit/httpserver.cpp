#include "httpkit/httpserver.h"

#include "httpkit/problem.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/ThreadPool.h>
#include <Poco/Timespan.h>
#include <glog/logging.h>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace ebony::httpkit {

namespace {

namespace net = Poco::Net;

constexpr int KeepAliveSeconds = 15;
constexpr int ReadTimeoutSeconds = 15;
constexpr int MaxFieldLength = 16 * 1024;
constexpr int MaxFields = 100;
constexpr int ListenBacklog = 256;
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

class RequestHandler final : public net::HTTPRequestHandler {
public:
  RequestHandler(const RequestFunction &Answer, InFlightCounter &InFlight)
      : Answer_(Answer), InFlight_(InFlight) {}

  void handleRequest(net::HTTPServerRequest &Request,
                     net::HTTPServerResponse &Response) override {
    InFlight_.increment();
    try {
      Answer_(Request, Response);
      discardUnreadBody(Request, Response);
    } catch (const std::exception &Error) {
      LOG(WARNING) << "request failed error=\"" << Error.what() << '"';
      Response.setKeepAlive(false);
      if (Response.sent())
        shutDownConnection(Request);
      else
        sendInternalProblem(Response);
    }
    InFlight_.decrement();
  }

private:
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
  Parameters->setMaxQueued(static_cast<int>(MaxConnections));
  Parameters->setServerName("ebonycove");
  return Parameters;
}

net::ServerSocket newListener(const wire::Endpoint &Listen) {
  return net::ServerSocket(net::SocketAddress(Listen.Address_, Listen.Port_),
                           ListenBacklog);
}

} // namespace

class HttpServer::Implementation {
public:
  Implementation(const wire::Endpoint &Listen, std::size_t MaxConnections,
                 RequestFunction Answer)
      : Pool_(2, static_cast<int>(MaxConnections) + 2),
        Server_(new RequestHandlerFactory(std::move(Answer), InFlight_), Pool_,
                newListener(Listen), newParameters(MaxConnections)) {}

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
  Poco::ThreadPool Pool_;
  net::HTTPServer Server_;
  bool IsStopped_ = false;
};

HttpServer::HttpServer(const wire::Endpoint &Listen, std::size_t MaxConnections,
                       RequestFunction Answer)
    : Implementation_(std::make_unique<Implementation>(Listen, MaxConnections,
                                                       std::move(Answer))) {}

HttpServer::~HttpServer() { Implementation_->stop(0); }

void HttpServer::start() { Implementation_->start(); }

void HttpServer::stopGracefully(int TimeoutSeconds) {
  Implementation_->stop(TimeoutSeconds);
}

} // namespace ebony::httpkit
