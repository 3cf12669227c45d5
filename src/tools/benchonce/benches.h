#ifndef EBONY_BENCHONCE_BENCHES_H
#define EBONY_BENCHONCE_BENCHES_H

namespace ebony::benchonce {

/// Prints the claims per table write and the mean wait of a claim for several
/// batch windows.
void benchClaims();

/// Prints the decisions per second on one core and the bytes per stored
/// submission.
void benchMemory();

/// Prints the share of each outcome for each kind of caller, over \p Schedules
/// seeded schedules for each case of faults.
void benchUnknown(int Schedules);

} // namespace ebony::benchonce

#endif
