#include "load/connectionpool.h"

#include "base/hashing.h"

#include <utility>

namespace ebony::load {

namespace {

std::string endpointKey(const Endpoint &Server) {
  return Server.Address_ + ":" + std::to_string(Server.Port_);
}

} // namespace

ConnectionPool::Shard &ConnectionPool::shardOf(const Endpoint &Server) {
  return Shards_[base::stableHash(endpointKey(Server)) % ShardCount];
}

ConnectionPool::Connection ConnectionPool::acquire(const Endpoint &Server) {
  Shard &ServerShard = shardOf(Server);
  {
    const std::lock_guard Guard(ServerShard.Lock_);
    std::vector<Connection> &Idle = ServerShard.Idle_[endpointKey(Server)];
    if (!Idle.empty()) {
      Connection Reused = std::move(Idle.back());
      Idle.pop_back();
      return Reused;
    }
  }
  auto Fresh = std::make_unique<Poco::Net::HTTPClientSession>(Server.Address_,
                                                              Server.Port_);
  Fresh->setKeepAlive(true);
  return Fresh;
}

void ConnectionPool::release(const Endpoint &Server, Connection Idle) {
  Shard &ServerShard = shardOf(Server);
  const std::lock_guard Guard(ServerShard.Lock_);
  ServerShard.Idle_[endpointKey(Server)].push_back(std::move(Idle));
}

} // namespace ebony::load
