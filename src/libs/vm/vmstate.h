#ifndef EBONY_VM_VMSTATE_H
#define EBONY_VM_VMSTATE_H

#include "asynckit/deadline.h"
#include "base/clock.h"
#include "base/holdercount.h"
#include "telemetry/eventlog.h"
#include "traffic/crashledger.h"
#include "traffic/customerratelimiter.h"
#include "traffic/dispatcher.h"
#include "traffic/entrydirectory.h"
#include "traffic/isolationdetector.h"
#include "traffic/keyfreshness.h"
#include "traffic/membertable.h"
#include "traffic/relaypeerselector.h"
#include "traffic/retrybudget.h"
#include "traffic/storeavailability.h"
#include "traffic/storenews.h"
#include "traffic/trafficsplitter.h"
#include "traffic/upstreamreachability.h"
#include "vm/callermemory.h"
#include "vm/fleetbounds.h"
#include "vm/platformbinding.h"
#include "vm/tablenewsrouter.h"
#include "vm/upstreamconnectionpool.h"
#include "vm/vmmetrics.h"
#include "vm/vmsettings.h"

namespace ebony::vm {

/// State that the components of the process share. It is used only by the
/// thread that runs the event loop.
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

  /// Logs that the limit that \p Upstream names began, changed or ended.
  /// \p SourceKey and \p Source tell what showed it.
  void logNamedLimit(const traffic::UpstreamState &Upstream,
                     std::string_view SourceKey, const std::string &Source);

  /// Logs the requests that are refused since the last call because they end
  /// upstreams, and those that no longer are. \p SourceKey and \p Source tell
  /// what showed it.
  void logBlamedRequests(std::string_view SourceKey, const std::string &Source);

  /// Applies the evacuated zones as read from the store. \p IsFresh is whether
  /// the VM's news of the store was fresh before.
  void setEvacuations(traffic::Evacuations Evacuations, bool IsFresh);

  /// Returns whether the VM's news of the store has been fresh all the while,
  /// so that what it learns now is new to the fleet.
  bool hasFreshStoreNews() const;

  /// Handles the return of the store after this VM did not reach it, at \p
  /// Since. Upstreams whose entries expired meanwhile may register again,
  /// unless the store was available to other VMs.
  void recordStoreReturn(base::TimePoint Since);

  /// Applies a report of another VM.
  void recordReport(const traffic::MemberReport &Report);

  /// Decides again whether this VM is cut off from all news of upstreams.
  void updateIsolation();

  /// Updates what this VM decides by the other VMs that it knows of.
  void updateFleetView();

  /// Returns the fields of the report that identify this VM and its condition.
  traffic::MemberReport ownIdentity() const;

  /// Returns this VM's current report.
  traffic::MemberReport ownReport() const;

  /// Returns whether this VM reads the store for the other VMs of its region.
  bool readsForRegion() const {
    return traffic::readsForRegion(ownIdentity(), Members_, now());
  }

  /// Returns whether so many requests are in process that the connections to
  /// upstreams may run out.
  bool areUpstreamConnectionsScarce() const;

  /// Returns whether there is room for the upstream connection of one more
  /// request. Closes less active connections if that makes room.
  bool makeRoomForUpstreamConnection();

  /// Returns the number of open connections of callers, of the directory's
  /// clients and to upstreams.
  std::size_t openConnections() const {
    return CallerConnections_->value() + DirectoryConnections_->value() +
           Connections_.openCount() + PeerConnections_.openCount();
  }

  /// Returns whether callers may be sent to this VM.
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
  CallerMemoryPtr CallerMemory_;
  base::HolderCountPtr CallerConnections_{new base::HolderCount};
  base::HolderCountPtr DirectoryConnections_{new base::HolderCount};
  /// Closes the least active connection if there are too many. Empty if there
  /// is no limit.
  std::function<void()> MakeRoomForConnection_;
  /// Connections of callers that are read only so that they are not reset.
  base::HolderCountPtr Lingering_{new base::HolderCount};
  /// Requests of callers in process, of which each takes at most one connection
  /// to an upstream.
  base::HolderCountPtr Exchanges_{new base::HolderCount};
  /// Configuration in force; null until one is known.
  traffic::TrafficRulesPtr Rules_;
  /// Whether the configuration, with its keys, is confirmed to be the newest.
  traffic::KeyFreshness KeyTrust_;
  /// Whether the quota plan is confirmed to be the newest.
  traffic::KeyFreshness PlanTrust_;
  /// Age of the VM's knowledge of upstreams and evacuated zones.
  traffic::StoreNews StoreNews_;
  /// Since when any VM has had news of the store.
  traffic::StoreAvailability StoreAvailability_;
  traffic::UpstreamTable Upstreams_;
  traffic::MemberTable Members_;
  traffic::IsolationDetector Isolation_;
  traffic::ColdUpstreamLimiter ColdLimiter_;
  traffic::UpstreamRateLimiter RateLimiter_;
  traffic::Dispatcher Dispatcher_;
  traffic::UpstreamReachability Reachability_;
  traffic::CrashLedger Crashes_;
  traffic::CustomerRateLimiter Quota_;
  traffic::RetryBudget Budget_;
  traffic::EntryDirectory Directory_;
  traffic::TrafficSplitter Splitter_;
  UpstreamConnectionPool Connections_;
  traffic::RelayPeerSelector Relays_;
  /// Connections to other VMs for relayed requests, by the VM's name.
  UpstreamConnectionPool PeerConnections_;
  TableNewsRouter News_;
  /// Evacuated zones as this VM read them from the store.
  traffic::Evacuations OwnEvacuations_;
  bool KnowsUpstreams_ = false;
  /// Whether the other VMs need to know something before the next report.
  bool AreReportsDue_ = false;
  /// Requests that were refused at the last call of logBlamedRequests().
  std::map<traffic::RequestFingerprint, base::TimePoint> LoggedBlame_;
  bool IsStopping_ = false;
  /// Newest evacuated zones by the reports of other VMs.
  traffic::Evacuations ReportedEvacuations_;
  /// Set in the last phase of a stop, in which new requests are refused.
  bool RefusesNewRequests_ = false;

private:
  /// Applies the newer of what this VM read and what others reported.
  void applyEvacuations(const std::string &Source, bool IsFresh);
  base::Duration longestColdDuration() const;
  std::set<base::ZoneName> evacuatedZones() const;
};

} // namespace ebony::vm

#endif
