#ifndef EBONY_UPSTREAMSTANDIN_UPSTREAMSETTINGS_H
#define EBONY_UPSTREAMSTANDIN_UPSTREAMSETTINGS_H

#include "base/finding.h"
#include "upstreamstandin/targetsettings.h"

#include <vector>

namespace ebony::upstreamstandin {

/// Settings of one upstream stand-in process.
struct UpstreamSettings {
  std::string ControlAddress_;
  std::uint16_t ControlPort_ = 0;
  std::uint64_t Seed_ = 1;
  std::vector<TargetSettings> Targets_;

  friend bool operator==(const UpstreamSettings &,
                         const UpstreamSettings &) = default;
};

/// Parses settings from the JSON text \p Text; returns all findings when they
/// are invalid.
base::Checked<UpstreamSettings> parseSettings(const std::string &Text,
                                              const std::string &Source);

} // namespace ebony::upstreamstandin

#endif
