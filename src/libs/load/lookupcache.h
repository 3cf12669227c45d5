#ifndef EBONY_LOAD_LOOKUPCACHE_H
#define EBONY_LOAD_LOOKUPCACHE_H

#include "base/clock.h"
#include "load/fleet.h"
#include "load/httpcaller.h"

#include <array>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace ebony::load {

/// Entry VM returned by a look-up.
struct EntryVm {
  Endpoint Endpoint_;
  std::string Zone_;

  friend bool operator==(const EntryVm &, const EntryVm &) = default;
};

/// Parsed answer to a look-up.
struct Lookup {
  std::string Session_;
  std::vector<EntryVm> Vms_; ///< In order of preference.
  base::TimePoint Expires_{};

  friend bool operator==(const Lookup &, const Lookup &) = default;
};

/// Caches look-ups for their time to live. Thread-safe; sharded to reduce lock
/// contention.
class LookupCache {
public:
  /// All arguments must outlive the cache.
  LookupCache(const Fleet &TargetFleet, HttpCaller &Caller,
              const base::Clock &Clock)
      : Fleet_(TargetFleet), Caller_(Caller), Clock_(Clock) {}

  /// Returns the cached look-up for callers near zone \p HomeZone, or queries
  /// the steerds of that zone first and then those of the other zones. Returns
  /// std::nullopt when none answers.
  std::optional<Lookup> resolve(int HomeZone, const std::string &Service,
                                const std::string &Customer);

private:
  struct Shard {
    std::mutex Lock_;
    std::unordered_map<std::string, Lookup> Entries_;
  };
  static constexpr std::size_t ShardCount = 16;

  std::optional<Lookup> queryNearestSteerd(int HomeZone,
                                           const std::string &Service,
                                           const std::string &Customer);
  std::optional<Lookup> querySteerd(const Endpoint &Steerd,
                                    base::Duration OneWay,
                                    const std::string &Target);

  const Fleet &Fleet_;
  HttpCaller &Caller_;
  const base::Clock &Clock_;
  std::array<Shard, ShardCount> Shards_;
};

} // namespace ebony::load

#endif
