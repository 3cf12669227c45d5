#ifndef EBONY_RECORDS_RECORD_H
#define EBONY_RECORDS_RECORD_H

#include "records/customerrecord.h"
#include "records/drainrecord.h"
#include "records/keyrecord.h"
#include "records/linkrecord.h"
#include "records/recordkind.h"
#include "records/regionrecord.h"
#include "records/routerecord.h"
#include "records/servicerecord.h"
#include "records/shiftrecord.h"
#include "records/upstreamrecord.h"
#include "records/zonerecord.h"

#include <string>
#include <variant>

namespace ebony::records {

using RecordBody =
    std::variant<RegionRecord, ZoneRecord, LinkRecord, ServiceRecord,
                 RouteRecord, UpstreamRecord, CustomerRecord, KeyRecord,
                 DrainRecord, ShiftRecord>;

/// A validated record of any kind and the JSON text that it was parsed from.
struct Record {
  RecordKind Kind_ = RecordKind::Region;
  std::string Name_;
  RecordBody Body_;
  std::string Json_;

  friend bool operator==(const Record &, const Record &) = default;
};

} // namespace ebony::records

#endif
