#ifndef EBONY_VM_HEADCHECK_H
#define EBONY_VM_HEADCHECK_H

#include "vm/callerrequest.h"
#include "vm/vmstate.h"

#include <optional>
#include <string>

namespace ebony::vm {

/// Why the VM refuses a request.
struct RequestRefusal {
  unsigned Status_ = 503;
  std::string Reason_;
  /// Delay after which the caller may retry; zero for none.
  base::Duration RetryAfter_{};

  friend bool operator==(const RequestRefusal &,
                         const RequestRefusal &) = default;
};

/// What the head of a request decides. The pointers are null if the request is
/// refused before they are known, and valid as long as the rules.
struct HeadDecision {
  const traffic::RouteSettings *Route_ = nullptr;
  /// Null on routes that need no key.
  const traffic::CustomerSettings *Customer_ = nullptr;
  std::optional<RequestRefusal> Refusal_;
};

/// Returns the route of \p Request by \p Rules, or null.
const traffic::RouteSettings *findRoute(const traffic::TrafficRules &Rules,
                                        const CallerRequest &Request);

/// Decides what needs no body: whether the VM takes new requests, the route and
/// the customer.
HeadDecision checkHead(const VmState &State, const CallerRequest &Request);

/// Delay after which a caller may retry at a VM that has no configuration, or
/// whose configuration is too old for keys to be trusted.
constexpr base::Duration NoConfigurationRetryAfter =
    std::chrono::milliseconds(500);

} // namespace ebony::vm

#endif
