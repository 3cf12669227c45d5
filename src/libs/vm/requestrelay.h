#ifndef EBONY_VM_REQUESTRELAY_H
#define EBONY_VM_REQUESTRELAY_H

#include "vm/upstreamattempt.h"
#include "vm/vmstate.h"

namespace ebony::vm {

/// Hands requests to a VM that reaches upstreams while this one reaches none.
///
/// The other VM admits and places a request like one of its own callers: it
/// gets the caller's key, charges the quota and makes the attempts. Its
/// response, a refusal as well, is the caller's.
class RequestRelay {
public:
  explicit RequestRelay(VmState &State) : State_(State) {}

  /// Relays \p Request. Sets \p Attempt to the attempt under way, which holds
  /// the response at the end. Returns std::nullopt if nothing was sent because
  /// this VM reaches upstreams or no VM could take the request.
  asynckit::awaitable<std::optional<traffic::AttemptResult>>
  run(const CallerRequest &Request, BodySource MoreBody,
      std::vector<base::RegionName> HomeRegions, base::TimePoint Deadline,
      std::shared_ptr<UpstreamAttempt> &Attempt);

  /// Returns the name of the VM that took the request.
  const std::string &peer() const { return Peer_; }

private:
  AttemptOptions options(const traffic::RelayPeer &Peer,
                         base::TimePoint Deadline) const;

  VmState &State_;
  std::string Peer_;
};

} // namespace ebony::vm

#endif
