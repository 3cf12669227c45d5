#ifndef EBONY_AGENT_AGENTDAEMON_H
#define EBONY_AGENT_AGENTDAEMON_H

#include "agent/agentsettings.h"

#include <memory>

namespace ebony::agent {

/// Owns the components of ebony-agentd and controls their lifetime.
class AgentDaemon {
public:
  explicit AgentDaemon(const AgentSettings &Settings);
  ~AgentDaemon();

  /// Binds the ports and starts polling the platform. Throws when a port cannot
  /// be bound.
  void start();

  /// Stops gracefully: completes operators' requests in flight.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace ebony::agent

#endif
