#include "telemetry/latencyhistogram.h"

#include <boost/histogram.hpp>

#include <functional>
#include <mutex>
#include <thread>

namespace ebony::telemetry {

namespace {

namespace bh = boost::histogram;

constexpr unsigned BucketCount = 30;
constexpr double LeastSeconds = 1e-4;
constexpr double MostSeconds = 100.0;
constexpr std::size_t ShardCount = 8;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = decltype(bh::make_histogram(LogAxis()));

Histogram newHistogram() {
  return bh::make_histogram(LogAxis(BucketCount, LeastSeconds, MostSeconds));
}

} // namespace

struct LatencyHistogram::Shard {
  std::mutex Lock_;
  Histogram Counts_ = newHistogram();
  double SumSeconds_ = 0;
};

LatencyHistogram::LatencyHistogram() {
  for (std::size_t Index = 0; Index < ShardCount; ++Index)
    Shards_.push_back(std::make_unique<Shard>());
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(base::Duration Latency) {
  const std::size_t Index =
      std::hash<std::thread::id>()(std::this_thread::get_id()) % ShardCount;
  Shard &Own = *Shards_[Index];
  const double Seconds = base::toSeconds(Latency);
  const std::lock_guard Guard(Own.Lock_);
  Own.Counts_(Seconds);
  Own.SumSeconds_ += Seconds;
}

std::vector<LatencyBucket> LatencyHistogram::buckets() const {
  Histogram Total = newHistogram();
  for (const auto &Own : Shards_) {
    const std::lock_guard Guard(Own->Lock_);
    Total += Own->Counts_;
  }
  std::vector<LatencyBucket> Result;
  std::int64_t Cumulative = 0;
  for (auto &&Cell : bh::indexed(Total, bh::coverage::all)) {
    Cumulative += static_cast<std::int64_t>(*Cell);
    Result.push_back({Cell.bin().upper(), Cumulative});
  }
  return Result;
}

double LatencyHistogram::sumSeconds() const {
  double Sum = 0;
  for (const auto &Own : Shards_) {
    const std::lock_guard Guard(Own->Lock_);
    Sum += Own->SumSeconds_;
  }
  return Sum;
}

} // namespace ebony::telemetry
