#include "entry/equalshareadmission.h"

#include "base/hashing.h"

#include <algorithm>
#include <sstream>

namespace ebony::entry {

namespace {

constexpr base::Duration MaxRetryAfter = std::chrono::seconds(60);

} // namespace

EqualShareAdmission::EqualShareAdmission(const fleet::FleetState &State,
                                         base::TimePoint StartedAt)
    : State_(State), StartedAt_(StartedAt) {}

// The buckets of a new incarnation start empty, because the previous one may
// have spent the burst just before it ended.
AdmissionDecision EqualShareAdmission::admit(const base::CustomerName &Customer,
                                             base::TimePoint Now) {
  const auto Configuration = State_.configuration();
  const auto *Record =
      Configuration->find<records::CustomerRecord>(Customer.text());
  if (Record == nullptr)
    return {false, MaxRetryAfter, "no such customer"};
  const auto VmCount = std::max<std::size_t>(1, State_.members()->all().size());
  const double Rate = Record->RequestsPerSecond_ / static_cast<double>(VmCount);
  const double Burst =
      std::max(1.0, Record->BurstRequests_ / static_cast<double>(VmCount));
  Shard &CustomerShard =
      Shards_[base::stableHash(Customer.text()) % ShardCount];
  const std::lock_guard Guard(CustomerShard.Lock_);
  const auto Position =
      CustomerShard.Buckets_.try_emplace(Customer, Bucket{0, StartedAt_}).first;
  Bucket &CustomerBucket = Position->second;
  CustomerBucket.Tokens_ = std::min(
      Burst, CustomerBucket.Tokens_ +
                 Rate * base::toSeconds(Now - CustomerBucket.FilledAt_));
  CustomerBucket.FilledAt_ = Now;
  std::ostringstream Considered;
  Considered << "tokens:" << CustomerBucket.Tokens_ << ",rate:" << Rate;
  if (CustomerBucket.Tokens_ >= 1) {
    CustomerBucket.Tokens_ -= 1;
    return {true, base::Duration(0), Considered.str()};
  }
  const base::Duration Wait =
      Rate > 0 ? base::fromSeconds((1 - CustomerBucket.Tokens_) / Rate)
               : MaxRetryAfter;
  return {false, std::min(Wait, MaxRetryAfter), Considered.str()};
}

} // namespace ebony::entry
