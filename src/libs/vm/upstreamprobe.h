#ifndef EBONY_VM_UPSTREAMPROBE_H
#define EBONY_VM_UPSTREAMPROBE_H

#include "asynckit/awaiting.h"
#include "vm/vmstate.h"

namespace ebony::vm {

/// Outcome of a connection that is opened to learn whether an upstream listens.
enum class ProbeResult { Connected, Refused, Unanswered };

/// Opens a connection to \p Upstream. One that succeeds is kept for a later
/// request.
asynckit::awaitable<ProbeResult> probeUpstream(VmState &State,
                                               traffic::UpstreamPtr Upstream);

/// Returns whether the process of \p Upstream has ended: nothing listens at its
/// address, while another upstream is reached.
asynckit::awaitable<bool> hasUpstreamEnded(VmState &State,
                                           traffic::UpstreamPtr Upstream);

} // namespace ebony::vm

#endif
