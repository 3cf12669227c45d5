#ifndef EBONY_AGENT_AGENTSETTINGS_H
#define EBONY_AGENT_AGENTSETTINGS_H

#include "base/finding.h"
#include "base/time.h"
#include "base/vmidentity.h"

#include <cstdint>
#include <string>

namespace ebony::agent {

/// Settings of ebony-agentd.
struct AgentSettings {
  std::string Address_;
  base::ZoneName Zone_;
  base::RegionName Region_;
  std::uint16_t OperatorPort_ = 0;
  std::uint16_t AgentPort_ = 0;
  /// Ports of the other daemons on every VM, used by "explain" and "log-level".
  std::uint16_t EntryAdminPort_ = 0;
  std::uint16_t SteerPort_ = 0;
  std::string PlatformHost_;
  std::uint16_t PlatformPort_ = 0;
  /// Token that operators send in the header "Authorization: Bearer".
  std::string OperatorToken_;
  base::Duration PollInterval_{0};
  base::Duration KeyStaleness_{0};

  friend bool operator==(const AgentSettings &,
                         const AgentSettings &) = default;
};

/// Reads the settings file \p Path and the command-line flags. Returns the
/// settings, or all findings at once.
base::Checked<AgentSettings> readAgentSettings(const std::string &Path);

} // namespace ebony::agent

#endif
