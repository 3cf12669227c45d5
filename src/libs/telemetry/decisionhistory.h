#ifndef EBONY_TELEMETRY_DECISIONHISTORY_H
#define EBONY_TELEMETRY_DECISIONHISTORY_H

#include "telemetry/decisionrecord.h"

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace ebony::telemetry {

/// The latest decisions of one process, in shards by request id. Safe from any
/// thread.
class DecisionHistory {
public:
  /// Keeps at most \p Capacity records in all.
  explicit DecisionHistory(std::size_t Capacity);

  void add(const DecisionRecord &Record);

  /// All kept records of one request in the order they were added.
  std::vector<DecisionRecord> find(const std::string &RequestId) const;

  /// At most \p Most kept records that satisfy \p Accept, newest first.
  std::vector<DecisionRecord>
  search(const std::function<bool(const DecisionRecord &)> &Accept,
         std::size_t Most) const;

private:
  static constexpr std::size_t ShardCount = 8;

  struct Shard {
    mutable std::mutex Lock_;
    std::deque<DecisionRecord> Records_;
  };

  std::size_t shardOf(const std::string &RequestId) const;

  std::size_t ShardCapacity_;
  std::array<Shard, ShardCount> Shards_;
};

} // namespace ebony::telemetry

#endif
