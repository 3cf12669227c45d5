#include "fleet/periodicthread.h"

#include <glog/logging.h>

namespace ebony::fleet {

PeriodicThread::PeriodicThread(base::Duration Interval,
                               std::function<void()> Task)
    : Interval_(Interval), Task_(std::move(Task)) {}

PeriodicThread::~PeriodicThread() { stop(); }

void PeriodicThread::start() {
  Thread_ = std::thread([this] { run(); });
}

void PeriodicThread::wake() {
  const std::lock_guard Guard(Lock_);
  IsWoken_ = true;
  Changed_.notify_all();
}

void PeriodicThread::stop() {
  {
    const std::lock_guard Guard(Lock_);
    IsStopping_ = true;
    Changed_.notify_all();
  }
  if (Thread_.joinable())
    Thread_.join();
}

void PeriodicThread::run() {
  std::unique_lock Guard(Lock_);
  while (!IsStopping_) {
    IsWoken_ = false;
    Guard.unlock();
    try {
      Task_();
    } catch (const std::exception &Error) {
      LOG(WARNING) << "periodic task failed error=\"" << Error.what() << '"';
    }
    Guard.lock();
    Changed_.wait_for(Guard, Interval_,
                      [this] { return IsStopping_ || IsWoken_; });
  }
}

} // namespace ebony::fleet
