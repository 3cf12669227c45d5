#ifndef EBONY_RECORDS_CONFIGURATION_H
#define EBONY_RECORDS_CONFIGURATION_H

#include "records/record.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>

namespace ebony::records {

/// Records of one type by name.
template <typename T> using RecordTable = std::map<std::string, T>;

/// All records at one revision. Immutable; copies share the tables.
class Configuration {
public:
  /// Creates revision 0, which has no records.
  Configuration();

  std::int64_t revision() const { return Revision_; }

  template <typename T> const RecordTable<T> &all() const {
    return *std::get<std::shared_ptr<const RecordTable<T>>>(Tables_);
  }

  /// Returns the record \p Name of type T, or null if there is none.
  template <typename T> const T *find(const std::string &Name) const {
    const auto Found = all<T>().find(Name);
    return Found == all<T>().end() ? nullptr : &Found->second;
  }

  /// Returns the route of \p Service with the longest prefix of \p Path, or
  /// null if none matches.
  const RouteRecord *findRoute(const base::ServiceName &Service,
                               const std::string &Path) const;

  /// Returns true if a drain record names \p Upstream.
  bool isDrained(const base::UpstreamName &Upstream) const;

  /// Returns the one-way latency between the regions of two zones; zero within
  /// a region or if no link is known.
  base::Duration latencyBetween(const base::ZoneName &From,
                                const base::ZoneName &To) const;

private:
  friend class ConfigurationBuilder;

  template <typename T> using Table = std::shared_ptr<const RecordTable<T>>;

  std::int64_t Revision_ = 0;
  std::tuple<Table<RegionRecord>, Table<ZoneRecord>, Table<LinkRecord>,
             Table<ServiceRecord>, Table<RouteRecord>, Table<UpstreamRecord>,
             Table<CustomerRecord>, Table<KeyRecord>, Table<DrainRecord>,
             Table<ShiftRecord>>
      Tables_;
};

} // namespace ebony::records

#endif
