#include "vm/upstreamlinks.h"

#include <algorithm>

namespace ebony::vm {

namespace {

// Time before the upstream's own limit at which a connection is given up: a
// request sent at that very moment would be lost.
constexpr base::Duration CloseMargin = std::chrono::milliseconds(700);

// Idle connections kept for one upstream; more are needed only in a burst.
constexpr std::size_t MostIdleLinks = 8;

bool isSpent(const UpstreamLink &Link, base::Duration MostIdle,
             base::TimePoint Now) {
  const base::Duration Idle = Now - Link.IdleSince_;
  return Idle > MostIdle || Idle + CloseMargin > Link.KeepAlive_;
}

} // namespace

UpstreamLinkPtr UpstreamLinks::take(const base::UpstreamName &Upstream,
                                    base::Duration MostIdle,
                                    base::TimePoint Now) {
  const auto Entry = Idle_.find(Upstream);
  if (Entry == Idle_.end())
    return nullptr;
  std::vector<UpstreamLinkPtr> &Links = Entry->second;
  // The last one kept is the one least likely to be closed over there.
  if (Links.empty() || isSpent(*Links.back(), MostIdle, Now))
    return nullptr;
  UpstreamLinkPtr Link = std::move(Links.back());
  Links.pop_back();
  Link->IsIdle_ = false;
  return Link;
}

void UpstreamLinks::keep(const base::UpstreamName &Upstream,
                         const UpstreamLinkPtr &Link, base::TimePoint Now) {
  std::vector<UpstreamLinkPtr> &Links = Idle_[Upstream];
  if (Links.size() >= MostIdleLinks) {
    Link->close();
    return;
  }
  Link->IsIdle_ = true;
  Link->WasUsed_ = true;
  Link->IdleSince_ = Now;
  // An empty buffer's memory is not worth keeping.
  Link->buffer() = boost::beast::flat_buffer();
  Links.push_back(Link);
  watch(Upstream, Link);
}

void UpstreamLinks::expire(base::TimePoint Now) {
  for (auto Entry = Idle_.begin(); Entry != Idle_.end();) {
    std::erase_if(Entry->second, [&](const UpstreamLinkPtr &Link) {
      if (!isSpent(*Link, base::Duration::max(), Now))
        return false;
      Link->close();
      return true;
    });
    Entry = Entry->second.empty() ? Idle_.erase(Entry) : std::next(Entry);
  }
}

void UpstreamLinks::drop(const base::UpstreamName &Upstream) {
  const auto Entry = Idle_.find(Upstream);
  if (Entry == Idle_.end())
    return;
  for (const UpstreamLinkPtr &Link : Entry->second)
    Link->close();
  Idle_.erase(Entry);
}

std::size_t UpstreamLinks::idleCount() const {
  std::size_t Count = 0;
  for (const auto &[Upstream, Links] : Idle_)
    Count += Links.size();
  return Count;
}

void UpstreamLinks::watch(const base::UpstreamName &Upstream,
                          const UpstreamLinkPtr &Link) {
  const std::weak_ptr<UpstreamLink> Weak = Link;
  Link->socket().async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [this, Weak, Upstream](boost::system::error_code Error) {
        const UpstreamLinkPtr Own = Weak.lock();
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
