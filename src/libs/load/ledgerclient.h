#ifndef EBONY_LOAD_LEDGERCLIENT_H
#define EBONY_LOAD_LEDGERCLIENT_H

#include "load/fleet.h"
#include "load/httpcaller.h"
#include "load/ledger.h"

namespace ebony::load {

/// Reads and merges the ledgers of all upstream stand-ins of \p TargetFleet.
/// Returns an error for each ledger that cannot be read.
base::Checked<Ledger> readLedgers(const Fleet &TargetFleet, HttpCaller &Caller);

} // namespace ebony::load

#endif
