#include "entry/connectionpool.h"

#include "base/hashing.h"

namespace ebony::entry {

ConnectionPool::ConnectionPool(std::string SourceAddress,
                               std::size_t MaxIdlePerPeer,
                               base::Duration ConnectTimeout)
    : SourceAddress_(std::move(SourceAddress)), MaxIdlePerPeer_(MaxIdlePerPeer),
      ConnectTimeout_(ConnectTimeout) {}

ConnectionPool::Shard &ConnectionPool::shardFor(const wire::Endpoint &Peer) {
  return Shards_[base::stableHash(toText(Peer)) % ShardCount];
}

std::unique_ptr<httpkit::ClientSession>
ConnectionPool::popIdle(const wire::Endpoint &Peer) {
  Shard &PeerShard = shardFor(Peer);
  const std::lock_guard Guard(PeerShard.Lock_);
  auto &Idle = PeerShard.Idle_[Peer];
  if (Idle.empty())
    return nullptr;
  auto Session = std::move(Idle.back());
  Idle.pop_back();
  return Session;
}

std::unique_ptr<httpkit::ClientSession>
ConnectionPool::acquire(const wire::Endpoint &Peer) {
  while (auto Session = popIdle(Peer))
    if (!Session->isStale())
      return Session;
  return std::make_unique<httpkit::ClientSession>(Peer, SourceAddress_,
                                                  ConnectTimeout_);
}

void ConnectionPool::release(const wire::Endpoint &Peer,
                             std::unique_ptr<httpkit::ClientSession> Session) {
  Shard &PeerShard = shardFor(Peer);
  const std::lock_guard Guard(PeerShard.Lock_);
  auto &Idle = PeerShard.Idle_[Peer];
  if (Idle.size() < MaxIdlePerPeer_)
    Idle.push_back(std::move(Session));
}

} // namespace ebony::entry
