#ifndef EBONY_TRAFFIC_CRASHLEDGER_H
#define EBONY_TRAFFIC_CRASHLEDGER_H

#include "traffic/crashreport.h"

#include <cstddef>
#include <map>
#include <optional>

namespace ebony::traffic {

/// Finds the requests that end the upstreams which run them, from what all VMs
/// have seen, so that they are refused.
///
/// Load pattern: a request that comes again with new ids at any VM and ends
/// each upstream while other requests run there; upstreams that end for other
/// reasons, several at once.
///
/// A request is blamed if the ends of three upstreams, one after another, have
/// no better explanation. Of the requests that were under way at an upstream,
/// the one that was under way at the most others explains its end. Upstreams
/// that ended while they ran the same request at the same time count once: a
/// zone that loses power takes them together. A request that was answered is
/// cleared.
class CrashLedger {
public:
  /// Records that the process of an upstream ended while it ran \p Request,
  /// which had been sent \p RanFor before.
  void recordCrash(NameTag Run, RequestFingerprint Request,
                   base::Duration RanFor, base::TimePoint Now);

  /// Records that an upstream has answered the request.
  void recordAnswer(RequestFingerprint Request, base::TimePoint Now);

  /// Adds what another VM has reported.
  void applyReport(const CrashReport &Report, base::TimePoint Now);
  CrashReport report(base::TimePoint Now) const;

  /// Returns for how long the request is refused, if it is.
  std::optional<base::Duration> refusedFor(RequestFingerprint Request,
                                           base::TimePoint Now) const;

  /// Returns whether a request that was lost with its upstream may be sent to
  /// another one.
  bool mayRetry(RequestFingerprint Request) const;

  /// Returns the number of upstreams that ended while they ran the request.
  std::size_t crashCount(RequestFingerprint Request) const;

  /// Returns the requests that are refused, with the last end they caused.
  std::map<RequestFingerprint, base::TimePoint>
  blamed(base::TimePoint Now) const;

  bool refusesAny() const { return !Blamed_.empty() || !Adopted_.empty(); }
  bool isEmpty() const {
    return Crashes_.empty() && Blamed_.empty() && Adopted_.empty();
  }

  /// Forgets what is older than the time for which a request is refused.
  void expire(base::TimePoint Now);

private:
  struct Suspect {
    base::Duration RanFor_{};
    bool IsOwn_ = false;
  };
  struct Crash {
    base::TimePoint At_{};
    std::map<RequestFingerprint, Suspect> Suspects_;
  };
  /// One end that may be the request's doing.
  struct Mark {
    NameTag Run_ = 0;
    base::TimePoint Start_{};
    base::TimePoint End_{};
  };
  /// How the ends that no other request explains speak against a request.
  struct Evidence {
    std::size_t SuccessiveEnds_ = 0;
    std::size_t Ends_ = 0;
    base::Duration MeanRun_{};

    bool isStrongerThan(const Evidence &Other) const;
  };

  /// The following return whether they changed anything.
  bool addSuspect(NameTag Run, RequestFingerprint Request, Suspect Found,
                  base::TimePoint At);
  bool clear(RequestFingerprint Request, base::TimePoint At);
  void assignBlame();
  std::vector<Mark> marksOf(RequestFingerprint Request) const;
  static Evidence weigh(std::vector<Mark> &Marks);

  std::map<NameTag, Crash> Crashes_;
  /// Requests blamed by the crashes known here, with the last one's time.
  std::map<RequestFingerprint, base::TimePoint> Blamed_;
  /// The same as other VMs report them: the crashes may be from before this
  /// VM's start.
  std::map<RequestFingerprint, base::TimePoint> Adopted_;
  std::map<RequestFingerprint, base::TimePoint> Cleared_;
};

} // namespace ebony::traffic

#endif
