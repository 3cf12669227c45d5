#ifndef EBONY_RECORDS_RECORDTEXT_H
#define EBONY_RECORDS_RECORDTEXT_H

#include "records/keyrecord.h"

#include <string>

namespace ebony::records {

/// Returns the JSON text of a key record in the newest schema version.
std::string toJson(const KeyRecord &Key);

/// Returns the JSON text of a drain record in the newest schema version.
std::string drainJson(const std::string &Name, const std::string &Upstream);

} // namespace ebony::records

#endif
