#include "vm/upstreamprobe.h"

namespace ebony::vm {

namespace {

namespace asio = boost::asio;

// A few round trips between regions.
constexpr base::Duration ProbeTimeout = std::chrono::milliseconds(250);

// Keep-alive timeout of a connection on which no response has stated one.
constexpr base::Duration AssumedKeepAlive = std::chrono::seconds(2);

} // namespace

asynckit::awaitable<ProbeResult> probeUpstream(VmState &State,
                                               traffic::UpstreamPtr Upstream) {
  const traffic::UpstreamEntry &Entry = Upstream->Entry_;
  asynckit::error_code Error;
  const auto Address = asio::ip::make_address(Entry.Address_, Error);
  if (Error)
    co_return ProbeResult::Unanswered;
  const UpstreamConnectionPtr Connection = State.Connections_.create();
  asynckit::Deadline Timeout(State.Deadlines_);
  Timeout.arm(State.now() + ProbeTimeout,
              [Socket = Connection.get()] { Socket->close(); });
  const asio::ip::tcp::endpoint Endpoint(Address, Entry.Port_);
  co_await Connection->socket().async_connect(Endpoint, asynckit::into(Error));
  Timeout.disarm();
  const base::TimePoint Now = State.now();
  if (Error) {
    State.Metrics_.FailedConnections_.add();
    State.Reachability_.recordFailure(Entry.Name_);
    const bool IsRefused = Error == asio::error::connection_refused ||
                           Error == asio::error::connection_reset;
    co_return IsRefused ? ProbeResult::Refused : ProbeResult::Unanswered;
  }
  State.Reachability_.recordConnection(Now);
  Connection->KeepAlive_ = AssumedKeepAlive;
  if (Upstream->IsListed_)
    State.Connections_.release(Entry.Name_, Connection, Now);
  co_return ProbeResult::Connected;
}

} // namespace ebony::vm
