#ifndef EBONY_FLEET_PERIODICTHREAD_H
#define EBONY_FLEET_PERIODICTHREAD_H

#include "base/time.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace ebony::fleet {

/// Thread that runs a task repeatedly with a fixed pause between runs.
class PeriodicThread {
public:
  PeriodicThread(base::Duration Interval, std::function<void()> Task);
  ~PeriodicThread();

  void start();

  /// Ends the current pause at once.
  void wake();

  /// Stops the thread after a task that is running has ended.
  void stop();

private:
  void run();

  base::Duration Interval_;
  std::function<void()> Task_;
  std::mutex Lock_;
  std::condition_variable Changed_;
  bool IsStopping_ = false;
  bool IsWoken_ = false;
  std::thread Thread_;
};

} // namespace ebony::fleet

#endif
