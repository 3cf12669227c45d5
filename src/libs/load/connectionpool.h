#ifndef EBONY_LOAD_CONNECTIONPOOL_H
#define EBONY_LOAD_CONNECTIONPOOL_H

#include "load/endpoint.h"

#include <Poco/Net/HTTPClientSession.h>

#include <array>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace ebony::load {

/// Pool of idle keep-alive connections by endpoint. Thread-safe; sharded to
/// reduce lock contention.
class ConnectionPool {
public:
  using Connection = std::unique_ptr<Poco::Net::HTTPClientSession>;

  /// Returns an idle connection to \p Server, or a new one that connects on
  /// first use.
  Connection acquire(const Endpoint &Server);

  /// Returns \p Idle to the pool for reuse.
  void release(const Endpoint &Server, Connection Idle);

private:
  struct Shard {
    std::mutex Lock_;
    std::unordered_map<std::string, std::vector<Connection>> Idle_;
  };
  static constexpr std::size_t ShardCount = 16;

  Shard &shardOf(const Endpoint &Server);

  std::array<Shard, ShardCount> Shards_;
};

} // namespace ebony::load

#endif
