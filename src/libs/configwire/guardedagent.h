#ifndef EBONY_CONFIGWIRE_GUARDEDAGENT_H
#define EBONY_CONFIGWIRE_GUARDEDAGENT_H

#include "configagent/configagent.h"

#include <mutex>

namespace ebony::configwire {

/// Provides thread-safe access to a ConfigAgent. No thread waits for the
/// network while it holds the lock.
class GuardedAgent {
public:
  explicit GuardedAgent(configagent::ConfigAgent &Agent) : Agent_(Agent) {}

  /// Calls \p Callback with the agent while holding the lock.
  template <typename Function> auto with(Function &&Callback) {
    const std::lock_guard<std::mutex> Guard(Lock_);
    return Callback(Agent_);
  }

private:
  std::mutex Lock_;
  configagent::ConfigAgent &Agent_;
};

} // namespace ebony::configwire

#endif
