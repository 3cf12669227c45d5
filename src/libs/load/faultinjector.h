#ifndef EBONY_LOAD_FAULTINJECTOR_H
#define EBONY_LOAD_FAULTINJECTOR_H

#include "base/clock.h"
#include "load/fault.h"
#include "load/httpcaller.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace ebony::load {

/// Sends orders to stand-ins at their scheduled times, on its own thread.
class FaultInjector {
public:
  /// Starts the thread at once. \p Clock must outlive the injector.
  FaultInjector(std::vector<Fault> Faults, const base::Clock &Clock);
  FaultInjector(const FaultInjector &) = delete;
  FaultInjector &operator=(const FaultInjector &) = delete;
  ~FaultInjector();

  /// Stops the thread and drops the faults that are not due yet. Returns the
  /// orders that were rejected.
  base::Findings finish();

private:
  void injectFaults(base::TimePoint Start);
  bool waitUntil(base::TimePoint When);
  void sendOrders(const Fault &DueFault);

  std::vector<Fault> Faults_;
  const base::Clock &Clock_;
  HttpCaller Caller_;
  base::Findings Problems_;
  std::mutex Lock_;
  std::condition_variable Changed_;
  bool Stopped_ = false;
  std::thread Thread_;
};

} // namespace ebony::load

#endif
