#ifndef EBONY_SETTINGS_SETTINGSSOURCE_H
#define EBONY_SETTINGS_SETTINGSSOURCE_H

#include "base/finding.h"

#include <Poco/JSON/Object.h>

#include <string>
#include <vector>

namespace ebony::settings {

/// Command-line flag that overrides a member of the settings file.
struct FlagOverride {
  std::string Flag_;
  std::string Member_;

  friend bool operator==(const FlagOverride &, const FlagOverride &) = default;
};

/// Reads the settings file \p Path as one JSON object and replaces the members
/// whose flags are set on the command line.
base::Checked<Poco::JSON::Object::Ptr>
loadSettings(const std::string &Path,
             const std::vector<FlagOverride> &Overrides);

} // namespace ebony::settings

#endif
