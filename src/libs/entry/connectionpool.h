#ifndef EBONY_ENTRY_CONNECTIONPOOL_H
#define EBONY_ENTRY_CONNECTIONPOOL_H

#include "httpkit/clientsession.h"
#include "wire/endpoint.h"

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace ebony::entry {

/// Pool of idle connections to upstreams and other entry VMs, sharded by peer.
/// Thread-safe.
class ConnectionPool {
public:
  ConnectionPool(std::string SourceAddress, std::size_t MaxIdlePerPeer,
                 base::Duration ConnectTimeout);

  /// Returns an idle connection that the peer has not closed, or a new one.
  /// Throws Poco::Exception when no connection can be opened; nothing has been
  /// sent in that case.
  std::unique_ptr<httpkit::ClientSession> acquire(const wire::Endpoint &Peer);

  /// Returns a connection to the pool. Its last response must have been read
  /// completely.
  void release(const wire::Endpoint &Peer,
               std::unique_ptr<httpkit::ClientSession> Session);

private:
  static constexpr std::size_t ShardCount = 16;

  struct Shard {
    std::mutex Lock_;
    std::map<wire::Endpoint,
             std::vector<std::unique_ptr<httpkit::ClientSession>>>
        Idle_;
  };

  Shard &shardFor(const wire::Endpoint &Peer);
  std::unique_ptr<httpkit::ClientSession> popIdle(const wire::Endpoint &Peer);

  std::string SourceAddress_;
  std::size_t MaxIdlePerPeer_;
  base::Duration ConnectTimeout_;
  std::array<Shard, ShardCount> Shards_;
};

} // namespace ebony::entry

#endif
