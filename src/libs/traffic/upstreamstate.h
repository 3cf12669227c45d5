#ifndef EBONY_TRAFFIC_UPSTREAMSTATE_H
#define EBONY_TRAFFIC_UPSTREAMSTATE_H

#include "traffic/namedlimit.h"
#include "traffic/nametag.h"
#include "traffic/upstreamentry.h"
#include "traffic/upstreamrun.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <algorithm>

namespace ebony::traffic {

/// State of one upstream as seen by this VM. Requests in flight keep the object
/// alive after the upstream has been removed from the table.
struct UpstreamState
    : boost::intrusive_ref_counter<UpstreamState,
                                   boost::thread_unsafe_counter> {
  UpstreamEntry Entry_;
  /// The run that the entry is of; null if the upstream was never in the table.
  UpstreamRunPtr Run_;
  base::RegionName Region_;
  std::uint64_t NameHash_ = 0;
  /// Whether the upstream is still in the table.
  bool IsListed_ = true;
  /// Requests that this VM has in flight at the upstream.
  int InFlight_ = 0;
  /// Requests in flight according to the last reports of the other VMs.
  int InFlightElsewhere_ = 0;
  base::TimePoint ColdUntil_{};
  /// Until when the upstream is cold by fresh news of the store, which other
  /// VMs may lack.
  base::TimePoint ColdToReportUntil_{};
  /// Until when the upstream is cold by the reports of other VMs.
  base::TimePoint ReportedColdUntil_{};
  /// Smoothed ratio of measured to expected processing time at the last update.
  double LatencyFactor_ = 1.0;
  base::TimePoint LatencyFactorUpdatedAt_{};
  /// Smoothed share of failed attempts.
  double FailureShare_ = 0.0;
  int FailuresInRow_ = 0;
  /// LatencyFactor_ and FailureShare_ before the failures in a row.
  double EarlierLatencyFactor_ = 1.0;
  double EarlierFailureShare_ = 0.0;
  /// Length of the last ejection; zero after a success.
  base::Duration EjectionDuration_{};
  base::TimePoint EjectedUntil_{};
  /// Time at which the pace of a named limit has this VM's next request.
  base::TimePoint NextSend_{};
  /// Until when the upstream has asked this VM for no requests.
  base::TimePoint QuietUntil_{};
  /// Whether the last such time was none that can be read.
  bool HasOddQuietTime_ = false;
  /// Whether no response since then has shown that it takes requests again.
  bool NeedsTrial_ = false;
  /// Rate that the upstream asks all VMs together not to exceed.
  NamedLimit Limit_;

  /// Returns the latency factor after decay towards 1, so that an upstream that
  /// gets no requests because it was slow is tried again.
  double latencyFactorAt(base::TimePoint Now) const;

  /// Returns the tag that replaces the name in reports.
  NameTag tag() const { return static_cast<NameTag>(NameHash_); }

  /// Returns the tag of this run of the upstream; it changes with a restart.
  NameTag runTag() const {
    return static_cast<NameTag>(base::mixBits(
        NameHash_ ^
        base::mixBits(static_cast<std::uint64_t>(Entry_.StartedUnixMs_))));
  }

  bool isLeaving() const {
    return Entry_.IsDraining_ || (Run_ && Run_->IsLeaving_);
  }
  int load() const { return InFlight_ + InFlightElsewhere_; }
  int freeSlots() const { return Entry_.Slots_ - load(); }
  bool isCold(base::TimePoint Now) const {
    return Now < std::max(ColdUntil_, ReportedColdUntil_);
  }
  /// Returns for how much longer the upstream is taken for cold.
  base::Duration coldRemaining(base::TimePoint Now) const {
    return std::max(std::max(ColdUntil_, ReportedColdUntil_) - Now,
                    base::Duration::zero());
  }
  /// Records that the upstream is cold until \p Until. \p IsFresh is whether
  /// the news of it is, so that other VMs may be told.
  void markCold(base::TimePoint Until, bool IsFresh) {
    ColdUntil_ = std::max(ColdUntil_, Until);
    if (IsFresh)
      ColdToReportUntil_ = std::max(ColdToReportUntil_, Until);
  }
  /// Takes over for how long another run of the upstream is cold.
  void keepCold(const UpstreamState &Other) {
    ColdUntil_ = Other.ColdUntil_;
    ColdToReportUntil_ = Other.ColdToReportUntil_;
    ReportedColdUntil_ = Other.ReportedColdUntil_;
  }
  bool isEjected(base::TimePoint Now) const { return Now < EjectedUntil_; }
  bool isQuiet(base::TimePoint Now) const { return Now < QuietUntil_; }
  /// Returns whether new requests go to other upstreams for now, so that the
  /// slots of this one are no help.
  bool isAvoided(base::TimePoint Now) const {
    return isEjected(Now) || isQuiet(Now);
  }
  /// Records that the upstream wants no requests until \p Until. Of several
  /// times the last one holds.
  void keepQuiet(base::TimePoint Until) {
    QuietUntil_ = std::max(QuietUntil_, Until);
    NeedsTrial_ = true;
  }
  /// Records a response to a request that was sent at \p Sent and not turned
  /// away. Returns whether it ends the trial.
  bool endTrial(base::TimePoint Sent) {
    if (!NeedsTrial_ || Sent < QuietUntil_)
      return false;
    NeedsTrial_ = false;
    return true;
  }
};

using UpstreamPtr = boost::intrusive_ptr<UpstreamState>;

} // namespace ebony::traffic

#endif
