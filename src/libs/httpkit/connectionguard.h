#ifndef EBONY_HTTPKIT_CONNECTIONGUARD_H
#define EBONY_HTTPKIT_CONNECTIONGUARD_H

#include "base/connectionactivity.h"
#include "base/steadyclock.h"
#include "telemetry/metricsregistry.h"

#include <boost/intrusive/list.hpp>

#include <cstddef>
#include <memory>
#include <mutex>

namespace ebony::httpkit {

class GuardedSocket;

/// Links a GuardedSocket with the others of its server.
using GuardedSocketHook = boost::intrusive::list_base_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// Open connections of one server, of which at most a given number may wait for
/// their clients. A further connection takes the place of the least active one.
/// Safe from any thread.
class ConnectionGuard {
public:
  /// \p Server is the name of the server in log lines and metrics.
  ConnectionGuard(const std::string &Server, std::size_t MaxConnections,
                  telemetry::MetricsRegistry &Metrics);
  ~ConnectionGuard();

  /// Adds a new connection, and ends another one if there are too many.
  void add(GuardedSocket &Socket);
  void remove(GuardedSocket &Socket);

  /// Sets what \p Socket is used for from now on.
  void setUse(GuardedSocket &Socket, base::ConnectionUse Use);
  /// Sets what \p Socket is used for since \p Since.
  void setUse(GuardedSocket &Socket, base::ConnectionUse Use,
              base::TimePoint Since);

  base::TimePoint now() const { return Clock_.now(); }
  /// Records that the head of a request was too large.
  void recordLargeHead();

private:
  const std::string Server_;
  const std::size_t MaxConnections_;
  const base::SteadyClock Clock_;
  telemetry::Counter &Closed_;
  telemetry::Counter &LargeHeads_;
  std::mutex Lock_;
  struct Connections;
  const std::unique_ptr<Connections> Connections_;
};

using ConnectionGuardPtr = std::shared_ptr<ConnectionGuard>;

} // namespace ebony::httpkit

#endif
