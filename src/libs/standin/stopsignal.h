#ifndef EBONY_STANDIN_STOPSIGNAL_H
#define EBONY_STANDIN_STOPSIGNAL_H

namespace ebony::standin {

/// Blocks SIGTERM and SIGINT so that wait() can receive them. Create it before
/// any other thread starts, because threads inherit the signal mask.
class StopSignal {
public:
  StopSignal();

  /// Waits for one of the signals and returns its number.
  int wait() const;
};

} // namespace ebony::standin

#endif
