#ifndef EBONY_TRAFFIC_UPSTREAMRUNS_H
#define EBONY_TRAFFIC_UPSTREAMRUNS_H

#include "traffic/upstreamentry.h"
#include "traffic/upstreamrun.h"

#include <functional>
#include <map>

namespace ebony::traffic {

/// What an entry of an upstream is, compared with those before it.
enum class EntryOrder {
  /// Older than what is known: it changes nothing.
  Outdated,
  /// The first one of a run since its entry was removed: it counts only once a
  /// later one follows.
  Unconfirmed,
  /// Of the run that is known.
  SameRun,
  /// Of a later run, or of the first one.
  NewRun,
};

/// The newest run of each upstream by its entries, which may arrive in any
/// order: by start first, then by sequence number.
///
/// Load pattern: the store performs reports of upstreams seconds late, after
/// later ones, while upstreams leave, start again and lose their entries.
class UpstreamRuns {
public:
  /// Compares an entry with what is known.
  EntryOrder orderOf(const UpstreamEntry &Entry, base::TimePoint Now) const;

  /// Records an entry that is not outdated. Returns its run, or null if the
  /// entry is unconfirmed.
  UpstreamRunPtr record(const UpstreamEntry &Entry, base::TimePoint Now);

  /// Records that the entry of an upstream was removed.
  void recordRemoval(const base::UpstreamName &Name, base::TimePoint Now);

  /// Forgets runs that have not been listed for long.
  void expire(const std::function<bool(const base::UpstreamName &)> &IsListed,
              base::TimePoint Now);

private:
  static EntryOrder orderInRun(const UpstreamRun &Run,
                               const UpstreamEntry &Entry, base::TimePoint Now);

  std::map<base::UpstreamName, UpstreamRunPtr> Newest_;
};

} // namespace ebony::traffic

#endif
