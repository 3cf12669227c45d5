#ifndef EBONY_STANDIN_HTTPLISTENER_H
#define EBONY_STANDIN_HTTPLISTENER_H

#include "base/time.h"
#include "standin/httpservice.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <cstdint>
#include <string>

namespace ebony::standin {

/// HTTP/1.1 server on one address that passes every request to a service.
class HttpListener {
public:
  /// Starts serving immediately. \p Service must outlive the listener. Port 0
  /// selects a free port. Accepting a connection takes \p ConnectionCost.
  /// Throws Poco::Exception when the address cannot be bound.
  HttpListener(HttpService &Service, const std::string &Address,
               std::uint16_t Port, base::Duration ConnectionCost);
  HttpListener(const HttpListener &) = delete;
  HttpListener &operator=(const HttpListener &) = delete;
  ~HttpListener();

  std::uint16_t port() const { return Server_.port(); }

  /// Stops accepting connections and waits until requests in flight are done.
  void stop();

private:
  Poco::ThreadPool Threads_;
  Poco::Net::HTTPServer Server_;
};

} // namespace ebony::standin

#endif
