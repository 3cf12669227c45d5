#ifndef EBONY_VM_FINGERPRINTER_H
#define EBONY_VM_FINGERPRINTER_H

#include "traffic/requestfingerprint.h"
#include "vm/callerrequest.h"

namespace ebony::vm {

/// Returns the fingerprint of a request whose customer is known. Only the first
/// 64 KB of the body and its length are included.
traffic::RequestFingerprint fingerprintOf(const CallerRequest &Request);

} // namespace ebony::vm

#endif
