#ifndef EBONY_FLEET_INCARNATION_H
#define EBONY_FLEET_INCARNATION_H

#include "base/vmidentity.h"

namespace ebony::fleet {

/// Returns a random incarnation number. The range is so large that no other
/// start of any VM draws the same number.
base::Incarnation newIncarnation();

} // namespace ebony::fleet

#endif
