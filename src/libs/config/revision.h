#ifndef EBONY_CONFIG_REVISION_H
#define EBONY_CONFIG_REVISION_H

#include "base/name.h"

#include <cstdint>

namespace ebony::config {

/// Number of a committed change; each commit increments it by one. 0 is the
/// empty configuration.
using Revision = std::int64_t;

/// Idempotency key of an operator's request: its change is committed only once.
using OperationId = base::Name<struct OperationKind>;

} // namespace ebony::config

#endif
