#include "telemetry/decisionhistory.h"

#include "base/hashing.h"

#include <algorithm>

namespace ebony::telemetry {

DecisionHistory::DecisionHistory(std::size_t Capacity)
    : ShardCapacity_(std::max<std::size_t>(1, Capacity / ShardCount)) {}

std::size_t DecisionHistory::shardOf(const std::string &RequestId) const {
  return base::stableHash(RequestId) % ShardCount;
}

void DecisionHistory::add(const DecisionRecord &Record) {
  Shard &Own = Shards_[shardOf(Record.RequestId_)];
  const std::lock_guard Guard(Own.Lock_);
  Own.Records_.push_back(Record);
  if (Own.Records_.size() > ShardCapacity_)
    Own.Records_.pop_front();
}

std::vector<DecisionRecord>
DecisionHistory::find(const std::string &RequestId) const {
  const Shard &Own = Shards_[shardOf(RequestId)];
  const std::lock_guard Guard(Own.Lock_);
  std::vector<DecisionRecord> Result;
  std::copy_if(
      Own.Records_.begin(), Own.Records_.end(), std::back_inserter(Result),
      [&](const DecisionRecord &One) { return One.RequestId_ == RequestId; });
  return Result;
}

std::vector<DecisionRecord> DecisionHistory::search(
    const std::function<bool(const DecisionRecord &)> &Accept,
    std::size_t Most) const {
  std::vector<DecisionRecord> Result;
  for (const Shard &Own : Shards_) {
    const std::lock_guard Guard(Own.Lock_);
    for (auto Record = Own.Records_.rbegin(); Record != Own.Records_.rend();
         ++Record) {
      if (Result.size() == Most)
        return Result;
      if (Accept(*Record))
        Result.push_back(*Record);
    }
  }
  return Result;
}

} // namespace ebony::telemetry
