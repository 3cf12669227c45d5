#ifndef EBONY_LOAD_LEDGERAUDIT_H
#define EBONY_LOAD_LEDGERAUDIT_H

#include "load/ledger.h"
#include "load/requestrecord.h"

#include <vector>

namespace ebony::load {

/// Returns the number of non-idempotent requests that ran more than once.
int countRanTwice(const Ledger &Observed);

/// Returns the number of requests that were reported as not run although
/// \p Observed records their execution.
int countFalseNotRun(const std::vector<RequestRecord> &Records,
                     const Ledger &Observed);

} // namespace ebony::load

#endif
