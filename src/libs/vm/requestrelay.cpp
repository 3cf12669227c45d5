#include "vm/requestrelay.h"

#include <algorithm>

namespace ebony::vm {

namespace {

namespace asio = boost::asio;
using traffic::AttemptResult;

// VMs that are tried while none could be connected to.
constexpr std::size_t MaxPeers = 3;

// Connect timeout: a few round trips between regions.
constexpr base::Duration ConnectTimeout = std::chrono::milliseconds(350);

// Longest idle time of a connection that is reused: the other VM could be
// closing it, and what is sent then is not sent again.
constexpr base::Duration MaxIdle = std::chrono::milliseconds(1500);

} // namespace

asynckit::awaitable<std::optional<AttemptResult>>
RequestRelay::run(const CallerRequest &Request, BodySource MoreBody,
                  std::vector<base::RegionName> HomeRegions,
                  base::TimePoint Deadline,
                  std::shared_ptr<UpstreamAttempt> &Attempt) {
  // The response could not arrive before the process ends.
  if (State_.now() >= State_.Dispatcher_.stopDeadline())
    co_return std::nullopt;
  std::vector<std::string> Tried;
  while (!State_.Reachability_.reachesUpstreams() && Tried.size() < MaxPeers) {
    const auto Peer = State_.Relays_.select(State_.Members_, HomeRegions, Tried,
                                            State_.now());
    if (!Peer)
      break;
    Tried.push_back(Peer->Name_);
    Attempt = std::make_shared<UpstreamAttempt>(
        State_.Platform_.Headers_, State_.PeerConnections_, State_.Deadlines_,
        options(*Peer, Deadline));
    State_.Relays_.recordStart(Peer->Name_);
    const AttemptResult Result = co_await Attempt->run(Request, MoreBody);
    State_.Relays_.recordEnd(Peer->Name_);
    if (Result == AttemptResult::Unreachable)
      continue;
    Peer_ = Peer->Name_;
    State_.Metrics_.Relayed_.add();
    co_return Result;
  }
  co_return std::nullopt;
}

AttemptOptions RequestRelay::options(const traffic::RelayPeer &Peer,
                                     base::TimePoint Deadline) const {
  AttemptOptions Options;
  Options.Target_ = AttemptTarget::Peer;
  Options.Upstream_ = base::UpstreamName(Peer.Name_);
  asynckit::error_code Ignored; // No VM listens at the null address.
  const std::string Host =
      Peer.CallerAddress_.substr(0, Peer.CallerAddress_.rfind(':'));
  Options.Address_ = {asio::ip::make_address(Host, Ignored),
                      State_.Settings_.PeerPort_};
  // The other VM takes relayed requests from listed addresses only.
  Options.LocalAddress_ = State_.Settings_.Callers_.address();
  Options.Deadline_ = std::min(Deadline, State_.Dispatcher_.stopDeadline());
  Options.TimeLeft_ = Options.Deadline_ - State_.now();
  Options.ConnectTimeout_ = ConnectTimeout;
  Options.MaxIdle_ = MaxIdle;
  return Options;
}

} // namespace ebony::vm
