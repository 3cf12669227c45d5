#ifndef EBONY_VM_PLAINSERVER_H
#define EBONY_VM_PLAINSERVER_H

#include "asynckit/awaiting.h"
#include "vm/vmstate.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <string>

namespace ebony::vm {

/// Answer of a PlainServer.
struct PlainAnswer {
  unsigned Status_ = 200;
  std::string ContentType_ = "text/plain";
  std::string Body_;

  friend bool operator==(const PlainAnswer &, const PlainAnswer &) = default;
};

/// Parameters of a request's query.
using Query = std::map<std::string, std::string>;

/// Answers short GET requests that are decided on the spot: readiness, the
/// directory, metrics.
class PlainServer {
public:
  using Handler = std::function<PlainAnswer(const std::string &Path,
                                            const Query &Parameters)>;

  PlainServer(VmState &State, const boost::asio::ip::tcp::endpoint &Address,
              Handler Answer);

  void start();

private:
  asynckit::awaitable<void> accept();
  asynckit::awaitable<void> serve(boost::asio::ip::tcp::socket Socket);

  VmState &State_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  Handler Answer_;
};

/// Splits a request target into its path and the parameters of its query.
std::pair<std::string, Query> parseTarget(const std::string &Target);

} // namespace ebony::vm

#endif
