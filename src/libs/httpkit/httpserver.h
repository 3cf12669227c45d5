#ifndef EBONY_HTTPKIT_HTTPSERVER_H
#define EBONY_HTTPKIT_HTTPSERVER_H

#include "telemetry/metricsregistry.h"
#include "wire/endpoint.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
} // namespace Poco::Net

namespace ebony::httpkit {

/// Function that sends the response to a request.
using RequestFunction = std::function<void(Poco::Net::HTTPServerRequest &,
                                           Poco::Net::HTTPServerResponse &)>;

/// HTTP/1.1 server on one address with one thread per open connection.
class HttpServer {
public:
  /// Serves at most \p MaxConnections connections at once. A further one takes
  /// the place of the least active that waits for its client; while none does,
  /// as many again are queued, and more are closed. \p Name stands in log lines
  /// and metrics. Throws Poco::Exception when the address cannot be bound.
  HttpServer(const std::string &Name, const wire::Endpoint &Listen,
             std::size_t MaxConnections, telemetry::MetricsRegistry &Metrics,
             RequestFunction Answer);
  ~HttpServer();

  void start();

  /// Stops accepting connections and waits at most \p TimeoutSeconds for the
  /// requests in flight.
  void stopGracefully(int TimeoutSeconds);

private:
  class Implementation;
  std::unique_ptr<Implementation> Implementation_;
};

} // namespace ebony::httpkit

#endif
