#ifndef EBONY_ENTRY_ENTRYSETTINGS_H
#define EBONY_ENTRY_ENTRYSETTINGS_H

#include "base/finding.h"
#include "base/time.h"
#include "base/vmidentity.h"

#include <cstdint>
#include <string>

namespace ebony::entry {

/// Settings of ebony-entryd.
struct EntrySettings {
  std::string Address_;
  base::ZoneName Zone_;
  base::RegionName Region_;
  std::uint16_t EntryPort_ = 0;
  std::uint16_t RelayPort_ = 0;
  std::uint16_t ThriftPort_ = 0;
  std::uint16_t AdminPort_ = 0;
  std::uint16_t AgentPort_ = 0;
  std::int64_t MaxConnections_ = 0;
  std::int64_t MaxWaitingPerCustomer_ = 0;
  std::int64_t DecisionHistory_ = 0;
  /// Longest time that a graceful shutdown waits for requests in flight.
  base::Duration StopTimeout_{0};
  /// Age of the configuration above which keys are refused.
  base::Duration KeyStaleness_{0};

  friend bool operator==(const EntrySettings &,
                         const EntrySettings &) = default;
};

/// Reads the settings file and the flags. On failure, returns all findings at
/// once.
base::Checked<EntrySettings> readEntrySettings(const std::string &Path);

} // namespace ebony::entry

#endif
