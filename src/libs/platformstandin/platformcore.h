#ifndef EBONY_PLATFORMSTANDIN_PLATFORMCORE_H
#define EBONY_PLATFORMSTANDIN_PLATFORMCORE_H

#include "base/randomengine.h"
#include "base/time.h"
#include "platformstandin/platformcounters.h"
#include "platformstandin/platformorders.h"
#include "platformstandin/platformsettings.h"
#include "platformstandin/ratelimit.h"
#include "platformstandin/table.h"
#include "platformstandin/vmlist.h"
#include "standin/httpanswer.h"
#include "standin/httpcall.h"

#include <map>
#include <mutex>
#include <string>

namespace ebony::platformstandin {

/// Table service, object store and VM list without sockets or sleeps.
/// Thread-safe; a single lock serializes all requests, because transactions
/// need a total order.
class PlatformCore {
public:
  PlatformCore(const PlatformSettings &Settings, base::RandomEngine Random);

  /// Applies the request and returns the answer. The request takes effect even
  /// when the injected faults drop the answer.
  standin::HttpAnswer answer(const standin::HttpCall &Call,
                             const std::string &Body, base::TimePoint Now);

  /// Returns the current latency of one direction to or from \p Caller.
  base::Duration oneWayLatency(const std::string &Caller) const;

private:
  enum class OperationKind { Read, Write, Order };
  struct Route;
  static const Route Routes[];

  static const Route *findRoute(const standin::HttpCall &Call);
  bool isZoneCutOff(const std::string &Caller) const;
  /// Counts the operation; returns false when it exceeds the rate limit.
  bool checkRateLimit(OperationKind Kind, base::TimePoint Now);

  standin::HttpAnswer transact(const standin::HttpCall &Call,
                               const std::string &Body, base::TimePoint Now);
  standin::HttpAnswer row(const standin::HttpCall &Call,
                          const std::string &Body, base::TimePoint Now);
  standin::HttpAnswer rows(const standin::HttpCall &Call,
                           const std::string &Body, base::TimePoint Now);
  standin::HttpAnswer putObject(const standin::HttpCall &Call,
                                const std::string &Body, base::TimePoint Now);
  standin::HttpAnswer object(const standin::HttpCall &Call,
                             const std::string &Body, base::TimePoint Now);
  standin::HttpAnswer vms(const standin::HttpCall &Call,
                          const std::string &Body, base::TimePoint Now);
  standin::HttpAnswer applyOrders(const standin::HttpCall &Call,
                                  const std::string &Body, base::TimePoint Now);
  standin::HttpAnswer counters(const standin::HttpCall &Call,
                               const std::string &Body, base::TimePoint Now);

  mutable std::mutex Lock_;
  std::vector<base::Duration> ZoneLatencies_;
  RateLimit Writes_;
  RateLimit Reads_;
  VmList VmList_;
  base::RandomEngine Random_;
  PlatformOrders Orders_;
  PlatformCounters Counters_;
  Table Table_;
  std::map<std::string, std::string> Objects_;
};

} // namespace ebony::platformstandin

#endif
