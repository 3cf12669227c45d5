#include "vm/headcheck.h"

#include "vm/headerfields.h"

namespace ebony::vm {

namespace {

// Retry-After for callers of a VM that is stopping: another VM serves them.
constexpr base::Duration StoppingRetryAfter = std::chrono::milliseconds(50);

/// Returns the host of a Host header without its port.
std::string_view hostWithoutPort(std::string_view Value) {
  return Value.substr(0, Value.rfind(':'));
}

HeadDecision refused(HeadDecision Decision, unsigned Status, const char *Reason,
                     base::Duration RetryAfter = base::Duration::zero()) {
  Decision.Refusal_ = RequestRefusal{Status, Reason, RetryAfter};
  return Decision;
}

} // namespace

const traffic::RouteSettings *findRoute(const traffic::TrafficRules &Rules,
                                        const CallerRequest &Request) {
  const std::string_view Path =
      std::string_view(Request.Target_).substr(0, Request.Target_.find('?'));
  return Rules.findRoute(hostWithoutPort(valueOf(Request.Fields_, "Host")),
                         Path);
}

HeadDecision checkHead(const VmState &State, const CallerRequest &Request) {
  HeadDecision Decision;
  if (State.RefusesNewRequests_)
    return refused(Decision, 503, "stopping", StoppingRetryAfter);
  if (!State.Rules_ || !State.KnowsUpstreams_)
    return refused(Decision, 503, "no-configuration",
                   NoConfigurationRetryAfter);
  const traffic::TrafficRules &Rules = *State.Rules_;
  Decision.Route_ = findRoute(Rules, Request);
  if (!Decision.Route_)
    return refused(Decision, 404, "no-route");
  if (!Rules.areKeysRequired() || Decision.Route_->IsPublic_)
    return Decision;
  const base::TimePoint Now = State.now();
  if (!State.KeyTrust_.isFresh(Now) || !State.PlanTrust_.isFresh(Now))
    return refused(Decision, 503, "keys-not-current",
                   NoConfigurationRetryAfter);
  const std::string &Scheme = State.Platform_.Headers_.KeyScheme_;
  const std::string_view Key = valueOf(Request.Fields_, "Authorization");
  if (Key.starts_with(Scheme))
    Decision.Customer_ = Rules.findCustomer(Key.substr(Scheme.size()));
  return Decision.Customer_ ? Decision : refused(Decision, 401, "unknown-key");
}

} // namespace ebony::vm
