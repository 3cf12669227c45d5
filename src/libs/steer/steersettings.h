#ifndef EBONY_STEER_STEERSETTINGS_H
#define EBONY_STEER_STEERSETTINGS_H

#include "base/finding.h"
#include "base/time.h"
#include "base/vmidentity.h"

#include <cstdint>
#include <string>

namespace ebony::steer {

/// Settings of ebony-steerd.
struct SteerSettings {
  std::string Address_;
  base::ZoneName Zone_;
  base::RegionName Region_;
  std::uint16_t SteerPort_ = 0;
  std::uint16_t AgentPort_ = 0;
  /// Port on which every entry VM accepts callers.
  std::uint16_t EntryPort_ = 0;
  /// Time for which a caller may use a lookup response.
  base::Duration TimeToLive_{0};
  std::int64_t MaxConnections_ = 0;
  std::int64_t DecisionHistory_ = 0;

  friend bool operator==(const SteerSettings &,
                         const SteerSettings &) = default;
};

/// Reads the settings file and the flags. On failure, returns all findings at
/// once.
base::Checked<SteerSettings> readSteerSettings(const std::string &Path);

} // namespace ebony::steer

#endif
