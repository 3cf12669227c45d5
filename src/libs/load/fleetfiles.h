#ifndef EBONY_LOAD_FLEETFILES_H
#define EBONY_LOAD_FLEETFILES_H

#include "base/finding.h"
#include "load/fleetplan.h"

#include <string>
#include <vector>

namespace ebony::load {

/// Name and content of a generated file.
struct FleetFile {
  std::string Name_;
  std::string Text_;

  friend bool operator==(const FleetFile &, const FleetFile &) = default;
};

/// Generates the settings of every process, the operators' records and
/// fleet.json.
std::vector<FleetFile> fleetFiles(const FleetPlan &Plan,
                                  const std::string &OperatorToken);

/// Writes all \p Files into \p Directory, which must exist. Returns the errors.
base::Findings writeFiles(const std::vector<FleetFile> &Files,
                          const std::string &Directory);

} // namespace ebony::load

#endif
