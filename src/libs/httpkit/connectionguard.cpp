#include "httpkit/connectionguard.h"

#include "httpkit/guardedsocket.h"

#include <glog/logging.h>

namespace ebony::httpkit {

namespace {

// Least time between two log lines about the same limit.
constexpr double LogIntervalSeconds = 1;

} // namespace

// Needs the complete type of the sockets.
struct ConnectionGuard::Connections
    : public boost::intrusive::list<
          GuardedSocket, boost::intrusive::constant_time_size<false>> {};

ConnectionGuard::ConnectionGuard(const std::string &Server,
                                 std::size_t MaxConnections,
                                 telemetry::MetricsRegistry &Metrics)
    : Server_(Server), MaxConnections_(MaxConnections),
      Closed_(Metrics.counter(
          "ebony_closed_connections_total",
          "Connections that were closed to make room for new ones.",
          "server=\"" + Server + "\"")),
      LargeHeads_(Metrics.counter("ebony_large_heads_total",
                                  "Requests whose head was too large.",
                                  "server=\"" + Server + "\"")),
      Connections_(std::make_unique<Connections>()) {}

ConnectionGuard::~ConnectionGuard() = default;

void ConnectionGuard::add(GuardedSocket &Socket) {
  const std::lock_guard Guard(Lock_);
  if (Connections_->size() >= MaxConnections_) {
    if (GuardedSocket *Least = base::findLeastActive(*Connections_)) {
      // It is no longer counted, although its thread ends later.
      Least->unlink();
      Least->interrupt();
      Closed_.add();
      LOG_EVERY_T(WARNING, LogIntervalSeconds)
          << "connection closed to make room for another server=" << Server_
          << " limit=" << MaxConnections_ << " closed=" << Closed_.value();
    }
  }
  Connections_->push_back(Socket);
}

void ConnectionGuard::remove(GuardedSocket &Socket) {
  const std::lock_guard Guard(Lock_);
  if (Socket.is_linked())
    Socket.unlink();
}

void ConnectionGuard::setUse(GuardedSocket &Socket, base::ConnectionUse Use) {
  setUse(Socket, Use, now());
}

void ConnectionGuard::setUse(GuardedSocket &Socket, base::ConnectionUse Use,
                             base::TimePoint Since) {
  const std::lock_guard Guard(Lock_);
  Socket.Activity_ = {Use, Since};
}

void ConnectionGuard::recordLargeHead() {
  LargeHeads_.add();
  LOG_EVERY_T(WARNING, LogIntervalSeconds)
      << "head of a request is too large server=" << Server_
      << " seen=" << LargeHeads_.value();
}

} // namespace ebony::httpkit
