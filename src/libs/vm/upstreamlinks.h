#ifndef EBONY_VM_UPSTREAMLINKS_H
#define EBONY_VM_UPSTREAMLINKS_H

#include "base/name.h"
#include "vm/upstreamlink.h"

#include <map>
#include <memory>
#include <vector>

namespace ebony::vm {

using UpstreamLinkPtr = std::shared_ptr<UpstreamLink>;

/// Idle connections to upstreams, by upstream. One that is closed or sends
/// anything while it is idle is dropped.
class UpstreamLinks {
public:
  explicit UpstreamLinks(boost::asio::io_context &Context)
      : Context_(Context) {}

  /// An idle connection that has not been idle for longer than \p MostIdle;
  /// null when there is none.
  UpstreamLinkPtr take(const base::UpstreamName &Upstream,
                       base::Duration MostIdle, base::TimePoint Now);

  /// A new, unconnected one.
  UpstreamLinkPtr make() { return std::make_shared<UpstreamLink>(Context_); }

  /// Keeps a connection on which nothing is left.
  void keep(const base::UpstreamName &Upstream, const UpstreamLinkPtr &Link,
            base::TimePoint Now);

  /// Closes connections that were idle for too long.
  void expire(base::TimePoint Now);

  /// Closes the idle connections of an upstream that is gone.
  void drop(const base::UpstreamName &Upstream);

  std::size_t idleCount() const;

private:
  void watch(const base::UpstreamName &Upstream, const UpstreamLinkPtr &Link);

  boost::asio::io_context &Context_;
  std::map<base::UpstreamName, std::vector<UpstreamLinkPtr>> Idle_;
};

} // namespace ebony::vm

#endif
