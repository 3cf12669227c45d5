#ifndef EBONY_ENTRY_EQUALSHAREADMISSION_H
#define EBONY_ENTRY_EQUALSHAREADMISSION_H

#include "entry/admission.h"
#include "fleet/fleetstate.h"

#include <array>
#include <map>
#include <mutex>

namespace ebony::entry {

/// Admission with token buckets that gives each listed VM an equal share of
/// every customer's rate and burst.
class EqualShareAdmission final : public Admission {
public:
  /// Buckets start empty and fill from \p StartedAt on.
  EqualShareAdmission(const fleet::FleetState &State,
                      base::TimePoint StartedAt);

  AdmissionDecision admit(const base::CustomerName &Customer,
                          base::TimePoint Now) override;

private:
  static constexpr std::size_t ShardCount = 16;

  struct Bucket {
    double Tokens_ = 0;
    base::TimePoint FilledAt_;
  };
  struct Shard {
    std::mutex Lock_;
    std::map<base::CustomerName, Bucket> Buckets_;
  };

  const fleet::FleetState &State_;
  base::TimePoint StartedAt_;
  std::array<Shard, ShardCount> Shards_;
};

} // namespace ebony::entry

#endif
