#ifndef EBONY_PLATFORMSTANDIN_PLATFORMSETTINGS_H
#define EBONY_PLATFORMSTANDIN_PLATFORMSETTINGS_H

#include "base/finding.h"
#include "base/time.h"
#include "platformstandin/listedvm.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ebony::platformstandin {

/// Settings of the platform stand-in.
struct PlatformSettings {
  std::string Address_ = "127.0.0.1";
  std::uint16_t Port_ = 0;
  double WritesPerSecond_ = 400;
  double ReadsPerSecond_ = 2000;
  base::Duration VmListLag_{0};
  /// One-way latency to callers 127.1.<zone>.<vm>, by zone number from 1.
  std::vector<base::Duration> ZoneLatencies_;
  std::vector<ListedVm> Vms_;
  std::uint64_t Seed_ = 1;

  friend bool operator==(const PlatformSettings &,
                         const PlatformSettings &) = default;
};

/// Parses settings from the JSON text \p Text; returns all findings when they
/// are invalid.
base::Checked<PlatformSettings> parseSettings(const std::string &Text,
                                              const std::string &Source);

} // namespace ebony::platformstandin

#endif
