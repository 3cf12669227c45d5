#ifndef EBONY_LOAD_RECORDFILE_H
#define EBONY_LOAD_RECORDFILE_H

#include "load/fleetplan.h"

#include <Poco/JSON/Array.h>

namespace ebony::load {

/// Returns the configuration records with which operators declare \p Plan.
Poco::JSON::Array operatorRecords(const FleetPlan &Plan);

} // namespace ebony::load

#endif
