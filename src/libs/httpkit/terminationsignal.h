#ifndef EBONY_HTTPKIT_TERMINATIONSIGNAL_H
#define EBONY_HTTPKIT_TERMINATIONSIGNAL_H

namespace ebony::httpkit {

/// Blocks SIGTERM and SIGINT in the calling thread and in threads it starts
/// later, and ignores SIGPIPE. Must be called before any thread starts.
void blockTerminationSignals();

/// Waits for SIGTERM or SIGINT and returns its number.
int waitForTerminationSignal();

} // namespace ebony::httpkit

#endif
