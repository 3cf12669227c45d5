#ifndef EBONY_VM_SIMPLEHTTPSERVER_H
#define EBONY_VM_SIMPLEHTTPSERVER_H

#include "asynckit/awaiting.h"
#include "vm/vmstate.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <string>

namespace ebony::vm {

/// Response of a SimpleHttpServer.
struct SimpleHttpResponse {
  unsigned Status_ = 200;
  std::string ContentType_ = "text/plain";
  std::string Body_;

  friend bool operator==(const SimpleHttpResponse &,
                         const SimpleHttpResponse &) = default;
};

/// Parameters of a request's query string.
using QueryParameters = std::map<std::string, std::string>;

/// HTTP server for short GET requests that a handler answers synchronously:
/// readiness, directory, metrics.
class SimpleHttpServer {
public:
  using Handler = std::function<SimpleHttpResponse(
      const std::string &Path, const QueryParameters &Parameters)>;

  SimpleHttpServer(VmState &State,
                   const boost::asio::ip::tcp::endpoint &Address,
                   Handler RequestHandler);

  void start();

private:
  asynckit::awaitable<void> accept();
  asynckit::awaitable<void> serve(boost::asio::ip::tcp::socket Socket);

  VmState &State_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  Handler Handler_;
};

/// Splits a request target into its path and the parameters of its query
/// string.
std::pair<std::string, QueryParameters> parseTarget(const std::string &Target);

} // namespace ebony::vm

#endif
