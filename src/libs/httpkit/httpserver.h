#ifndef EBONY_HTTPKIT_HTTPSERVER_H
#define EBONY_HTTPKIT_HTTPSERVER_H

#include "wire/endpoint.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>

#include <cstddef>
#include <functional>
#include <memory>

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
  /// Serves at most \p MaxConnections connections at once. As many again are
  /// queued, and further ones are closed. Throws Poco::Exception when the
  /// address cannot be bound.
  HttpServer(const wire::Endpoint &Listen, std::size_t MaxConnections,
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
