#include "agent/agentdaemon.h"
#include "daemonkit/daemonmain.h"

int main(int ArgumentCount, char **Arguments) {
  return ebony::daemonkit::runDaemon<ebony::agent::AgentDaemon>(
      ArgumentCount, Arguments,
      "Keeps one entry VM's configuration current and serves operators.",
      ebony::agent::readAgentSettings);
}
