#ifndef EBONY_VM_VMSTATE_H
#define EBONY_VM_VMSTATE_H

#include "asynckit/deadline.h"
#include "base/clock.h"
#include "telemetry/eventlog.h"
#include "traffic/customerratelimiter.h"
#include "traffic/dispatcher.h"
#include "traffic/entrydirectory.h"
#include "traffic/keyfreshness.h"
#include "traffic/membertable.h"
#include "traffic/retrybudget.h"
#include "traffic/trafficsplitter.h"
#include "vm/fleetbounds.h"
#include "vm/newsboard.h"
#include "vm/platformbinding.h"
#include "vm/upstreamlinks.h"
#include "vm/vmmetrics.h"
#include "vm/vmsettings.h"

namespace ebony::vm {

/// What the parts of the process share. All of it belongs to the one thread
/// that runs the event loop.
class VmState {
public:
  VmState(boost::asio::io_context &Context, const base::Clock &Clock,
          VmSettings Settings, FleetBounds Bounds, PlatformBinding Platform,
          std::uint64_t Seed);

  base::TimePoint now() const { return Clock_.now(); }
  void log(const telemetry::EventLine &Line,
           telemetry::EventWeight Weight = telemetry::EventWeight::Notable) {
    Log_.write(Line, Weight, now());
  }

  /// The part of the report that names this VM and its condition.
  traffic::MemberReport ownIdentity() const;

  /// This VM's report as it stands now.
  traffic::MemberReport ownReport() const;

  /// Whether this VM reads the store for the others of its region.
  bool readsForRegion() const {
    return traffic::readsForRegion(ownIdentity(), Members_, now());
  }

  /// Whether callers may be sent here.
  bool isReady() const { return Rules_ && KnowsUpstreams_ && !IsStopping_; }

  boost::asio::io_context &Context_;
  const base::Clock &Clock_;
  const VmSettings Settings_;
  const FleetBounds Bounds_;
  const PlatformBinding Platform_;
  const std::int64_t Incarnation_;
  telemetry::EventLog Log_;
  VmMetrics Metrics_;
  asynckit::DeadlineList Deadlines_;
  /// The configuration in force; null until one is known.
  traffic::TrafficRulesPtr Rules_;
  traffic::KeyFreshness KeyTrust_;
  /// Whether the quota plan is still known to be the newest.
  traffic::KeyFreshness PlanTrust_;
  traffic::UpstreamTable Upstreams_;
  traffic::MemberTable Members_;
  traffic::ColdUpstreamLimiter ColdGate_;
  traffic::Dispatcher Dispatcher_;
  traffic::CustomerRateLimiter Quota_;
  traffic::RetryBudget Budget_;
  traffic::EntryDirectory Directory_;
  traffic::TrafficSplitter Splits_;
  UpstreamLinks Links_;
  NewsBoard News_;
  bool KnowsUpstreams_ = false;
  bool IsStopping_ = false;
  /// Whether the stop has come so far that no request is taken in any more.
  bool RefusesNew_ = false;
};

} // namespace ebony::vm

#endif
