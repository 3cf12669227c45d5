#ifndef EBONY_TRAFFIC_UPSTREAMSTATE_H
#define EBONY_TRAFFIC_UPSTREAMSTATE_H

#include "traffic/nametag.h"
#include "traffic/upstreamentry.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace ebony::traffic {

/// One upstream with what this VM knows of it. Requests that run there keep
/// the object after the upstream has left the table.
struct UpstreamState
    : boost::intrusive_ref_counter<UpstreamState,
                                   boost::thread_unsafe_counter> {
  UpstreamEntry Entry_;
  base::RegionName Region_;
  std::uint64_t NameHash_ = 0;
  bool IsListed_ = true;
  /// Requests of this VM that run or wait there.
  int InFlight_ = 0;
  /// Requests that the other VMs told of in their last reports.
  int InFlightElsewhere_ = 0;
  base::TimePoint ColdUntil_{};
  base::TimePoint LastColdSend_{};
  /// Smoothed ratio of the time that answers took to the time foreseen, as it
  /// stood when it was last learned.
  double LatencyFactor_ = 1.0;
  base::TimePoint LatencyFactorAt_{};
  /// Smoothed share of requests that were shed, reset or failed.
  double FailureShare_ = 0.0;
  int FailuresInRow_ = 0;
  base::Duration EjectionDuration_{};
  base::TimePoint EjectedUntil_{};

  /// The slowness with what time has taken from it: an upstream that gets no
  /// work for its slowness is tried again.
  double latencyFactorAt(base::TimePoint Now) const;

  /// Stands for the name in reports.
  NameTag tag() const { return static_cast<NameTag>(NameHash_); }

  int load() const { return InFlight_ + InFlightElsewhere_; }
  int freeSlots() const { return Entry_.Slots_ - load(); }
  bool isCold(base::TimePoint Now) const { return Now < ColdUntil_; }
  bool isEjected(base::TimePoint Now) const { return Now < EjectedUntil_; }
};

using UpstreamPtr = boost::intrusive_ptr<UpstreamState>;

} // namespace ebony::traffic

#endif
