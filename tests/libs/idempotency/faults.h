#ifndef EBONY_TESTS_IDEMPOTENCY_FAULTS_H
#define EBONY_TESTS_IDEMPOTENCY_FAULTS_H

namespace ebony::tests {

/// Probability of each fault, per call or per submission.
struct Faults {
  double Upstream_ = 0.25;
  double Network_ = 0.1;
  double Table_ = 0.2;
  /// Crashes and planned stops, per VM and schedule.
  double Stops_ = 0.6;
  /// Only planned stops happen, and the successor keeps running.
  bool PlannedStopsOnly_ = false;
  /// Callers resubmit old keys and use counters out of order, and the
  /// registries are too small for them.
  bool UnusualKeys_ = true;
};

} // namespace ebony::tests

#endif
