#include "vm/upstreamconnectionpool.h"

#include <algorithm>

namespace ebony::vm {

namespace {

// Time before the end of the upstream's keep-alive timeout at which a
// connection is closed: a request that is sent just as the upstream closes it
// would be lost.
constexpr base::Duration CloseMargin = std::chrono::milliseconds(700);

// Number of idle connections per upstream; more are needed only in a burst.
constexpr std::size_t MaxIdleConnections = 8;

bool isExpired(const UpstreamConnection &Connection, base::Duration MaxIdle,
               base::TimePoint Now) {
  const base::Duration Idle = Now - Connection.IdleSince_;
  return Idle > MaxIdle || Idle + CloseMargin > Connection.KeepAlive_;
}

} // namespace

UpstreamConnectionPtr
UpstreamConnectionPool::acquire(const base::UpstreamName &Upstream,
                                std::string_view RequestId,
                                base::Duration MaxIdle, base::TimePoint Now) {
  const auto Entry = Idle_.find(Upstream);
  if (Entry == Idle_.end())
    return nullptr;
  std::vector<UpstreamConnectionPtr> &Connections = Entry->second;
  // The connection released last is the least likely to be closed by the
  // upstream.
  const auto Newest =
      std::find_if(Connections.rbegin(), Connections.rend(),
                   [RequestId](const UpstreamConnectionPtr &Connection) {
                     return !Connection->hasCarried(RequestId);
                   });
  if (Newest == Connections.rend() || isExpired(**Newest, MaxIdle, Now))
    return nullptr;
  UpstreamConnectionPtr Connection = std::move(*Newest);
  Connections.erase(std::next(Newest).base());
  Connection->IsIdle_ = false;
  return Connection;
}

void UpstreamConnectionPool::release(const base::UpstreamName &Upstream,
                                     const UpstreamConnectionPtr &Connection,
                                     base::TimePoint Now) {
  std::vector<UpstreamConnectionPtr> &Connections = Idle_[Upstream];
  if (Connections.size() >= MaxIdleConnections) {
    Connection->close();
    return;
  }
  Connection->IsIdle_ = true;
  Connection->WasUsed_ = true;
  Connection->IdleSince_ = Now;
  Connection->shrinkBuffer();
  Connections.push_back(Connection);
  closeWhenReadable(Upstream, Connection);
}

void UpstreamConnectionPool::expire(base::TimePoint Now) {
  for (auto Entry = Idle_.begin(); Entry != Idle_.end();) {
    std::erase_if(Entry->second, [&](const UpstreamConnectionPtr &Connection) {
      if (!isExpired(*Connection, base::Duration::max(), Now))
        return false;
      Connection->close();
      return true;
    });
    Entry = Entry->second.empty() ? Idle_.erase(Entry) : std::next(Entry);
  }
}

void UpstreamConnectionPool::drop(const base::UpstreamName &Upstream) {
  const auto Entry = Idle_.find(Upstream);
  if (Entry == Idle_.end())
    return;
  for (const UpstreamConnectionPtr &Connection : Entry->second)
    Connection->close();
  Idle_.erase(Entry);
}

void UpstreamConnectionPool::closeIdle() {
  for (const auto &[Upstream, Connections] : Idle_)
    for (const UpstreamConnectionPtr &Connection : Connections)
      Connection->close();
  Idle_.clear();
}

std::size_t UpstreamConnectionPool::idleCount() const {
  std::size_t Count = 0;
  for (const auto &[Upstream, Connections] : Idle_)
    Count += Connections.size();
  return Count;
}

void UpstreamConnectionPool::closeWhenReadable(
    const base::UpstreamName &Upstream,
    const UpstreamConnectionPtr &Connection) {
  const std::weak_ptr<UpstreamConnection> Weak = Connection;
  Connection->socket().async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [this, Weak, Upstream](boost::system::error_code Error) {
        const UpstreamConnectionPtr Own = Weak.lock();
        // A connection in use is readable because its answer comes in.
        if (!Own || !Own->IsIdle_ || Error)
          return;
        Own->IsIdle_ = false;
        Own->close();
        const auto Entry = Idle_.find(Upstream);
        if (Entry != Idle_.end())
          std::erase(Entry->second, Own);
      });
}

} // namespace ebony::vm
