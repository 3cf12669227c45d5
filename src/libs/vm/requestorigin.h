#ifndef EBONY_VM_REQUESTORIGIN_H
#define EBONY_VM_REQUESTORIGIN_H

namespace ebony::vm {

/// Who sent a request to this VM. What another VM has relayed is not relayed
/// again.
enum class RequestOrigin { Caller, Peer };

} // namespace ebony::vm

#endif
