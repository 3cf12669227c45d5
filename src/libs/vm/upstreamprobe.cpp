#include "vm/upstreamprobe.h"

namespace ebony::vm {

namespace {

namespace asio = boost::asio;

// A few round trips between regions.
constexpr base::Duration ProbeTimeout = std::chrono::milliseconds(250);

// Keep-alive timeout of a connection on which no response has stated one.
constexpr base::Duration AssumedKeepAlive = std::chrono::seconds(2);

/// Returns an upstream other than \p Excluded, of another zone if there is one;
/// null if there is none.
traffic::UpstreamPtr findOther(const traffic::UpstreamTable &Table,
                               const traffic::UpstreamPtr &Excluded) {
  traffic::UpstreamPtr SameZone;
  for (const auto &[Name, Upstream] : Table.all()) {
    if (Upstream == Excluded || Upstream->FailuresInRow_ > 0)
      continue;
    if (Upstream->Entry_.Zone_ != Excluded->Entry_.Zone_)
      return Upstream;
    SameZone = Upstream;
  }
  return SameZone;
}

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

asynckit::awaitable<bool> hasUpstreamEnded(VmState &State,
                                           traffic::UpstreamPtr Upstream) {
  const base::TimePoint Started = State.now();
  const ProbeResult Result = co_await probeUpstream(State, Upstream);
  if (Result != ProbeResult::Refused)
    co_return false;
  if (State.Reachability_.hasConnectedSince(Started))
    co_return true;
  // Without another upstream that is reached, the loss of this VM's link looks
  // the same.
  const traffic::UpstreamPtr Other = findOther(State.Upstreams_, Upstream);
  if (!Other)
    co_return false;
  const ProbeResult OtherResult = co_await probeUpstream(State, Other);
  co_return OtherResult == ProbeResult::Connected;
}

} // namespace ebony::vm
