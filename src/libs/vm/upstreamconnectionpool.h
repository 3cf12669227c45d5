#ifndef EBONY_VM_UPSTREAMCONNECTIONPOOL_H
#define EBONY_VM_UPSTREAMCONNECTIONPOOL_H

#include "base/name.h"
#include "vm/upstreamconnection.h"

#include <map>
#include <memory>
#include <vector>

namespace ebony::vm {

using UpstreamConnectionPtr = std::shared_ptr<UpstreamConnection>;

/// Idle connections to upstreams, by upstream. One that is closed or sends
/// anything while it is idle is removed.
class UpstreamConnectionPool {
public:
  explicit UpstreamConnectionPool(boost::asio::io_context &Context)
      : Context_(Context) {}

  /// Returns a connection that has been idle for at most \p MaxIdle and has not
  /// carried a request with the id \p RequestId lately, or null if there is
  /// none.
  UpstreamConnectionPtr acquire(const base::UpstreamName &Upstream,
                                std::string_view RequestId,
                                base::Duration MaxIdle, base::TimePoint Now);

  /// Returns a new, unconnected connection.
  UpstreamConnectionPtr create() {
    return std::make_shared<UpstreamConnection>(Context_, Open_);
  }

  /// Adds a connection without unread data to the pool.
  void release(const base::UpstreamName &Upstream,
               const UpstreamConnectionPtr &Connection, base::TimePoint Now);

  /// Closes connections that were idle for too long.
  void expire(base::TimePoint Now);

  /// Closes the idle connections of an upstream that was removed.
  void drop(const base::UpstreamName &Upstream);

  /// Closes all idle connections.
  void closeIdle();

  std::size_t idleCount() const;
  /// Returns the number of connections in use and idle ones.
  std::size_t openCount() const { return Open_->value(); }

private:
  void closeWhenReadable(const base::UpstreamName &Upstream,
                         const UpstreamConnectionPtr &Connection);

  boost::asio::io_context &Context_;
  const base::HolderCountPtr Open_{new base::HolderCount};
  std::map<base::UpstreamName, std::vector<UpstreamConnectionPtr>> Idle_;
};

} // namespace ebony::vm

#endif
