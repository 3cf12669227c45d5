#ifndef EBONY_TELEMETRY_COUNTER_H
#define EBONY_TELEMETRY_COUNTER_H

#include <atomic>
#include <cstdint>

namespace ebony::telemetry {

/// Count that only grows, or a gauge that is set. Safe from any thread.
class Counter {
public:
  void add(std::int64_t Amount = 1) {
    Value_.fetch_add(Amount, std::memory_order_relaxed);
  }
  void set(std::int64_t Value) {
    Value_.store(Value, std::memory_order_relaxed);
  }
  std::int64_t value() const { return Value_.load(std::memory_order_relaxed); }

private:
  std::atomic<std::int64_t> Value_{0};
};

} // namespace ebony::telemetry

#endif
