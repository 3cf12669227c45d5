#ifndef EBONY_VM_SIMPLEHTTPSERVER_H
#define EBONY_VM_SIMPLEHTTPSERVER_H

#include "asynckit/awaiting.h"
#include "base/connectionactivity.h"
#include "vm/vmstate.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/intrusive/list.hpp>

#include <functional>
#include <map>
#include <memory>
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

  /// \p MakeRoom is called for each new connection, before it is served. The
  /// connections are counted by \p Count.
  SimpleHttpServer(VmState &State,
                   const boost::asio::ip::tcp::endpoint &Address,
                   base::HolderCountPtr Count, std::function<void()> MakeRoom,
                   Handler RequestHandler);

  /// Closes the least active connection, if there is one.
  void closeLeastActive();
  std::size_t connectionCount() const { return Count_->value(); }

  void start();

private:
  /// A connection of which requests are read.
  struct Connection
      : public boost::intrusive::list_base_hook<
            boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    Connection(boost::asio::ip::tcp::socket Socket, base::TimePoint Now,
               base::HolderCountPtr Count)
        : Socket_(std::move(Socket)), Activity_{base::ConnectionUse::Unused,
                                                Now},
          Count_(std::move(Count)) {}
    const base::ConnectionActivity &activity() const { return Activity_; }
    void close();

    boost::asio::ip::tcp::socket Socket_;
    base::ConnectionActivity Activity_;
    const base::HolderCountPtr Count_;
  };

  asynckit::awaitable<void> accept();
  asynckit::awaitable<void> serve(std::shared_ptr<Connection> Client);

  VmState &State_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  const base::HolderCountPtr Count_;
  std::function<void()> MakeRoom_;
  Handler Handler_;
  boost::intrusive::list<Connection,
                         boost::intrusive::constant_time_size<false>>
      Connections_;
};

/// Splits a request target into its path and the parameters of its query
/// string.
std::pair<std::string, QueryParameters> parseTarget(const std::string &Target);

} // namespace ebony::vm

#endif
