#include "traffic/upstreamreachability.h"
#include "base/randomengine.h"
#include "libs/traffic/fixtures.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::traffic;
using namespace ebony::traffic::fixtures;

namespace {

struct Fixture {
  UpstreamReachability Reachability_;

  static base::UpstreamName name(int Number) {
    return base::UpstreamName("u" + std::to_string(Number));
  }

  void failThree() {
    for (int I = 0; I < 3; ++I)
      Reachability_.recordFailure(name(I));
  }

  /// Runs a round of six probes. Returns whether the decision changed.
  bool probe(int Connected, int Refused, base::Duration Time) {
    Reachability_.beginProbe(at(Time));
    return Reachability_.finishProbe(
        {at(Time), Connected, Refused, 6 - Connected - Refused},
        at(Time + 250ms));
  }
};

enum class Trouble {
  None,
  LinkRefuses,
  LinkHangs,
  ZoneIsLost,
  UpstreamsAreSlow
};

/// A VM with 30 requests a second at 12 upstreams of three zones, in virtual
/// time. Trouble lasts from 5 s to 12 s.
class LinkRun {
public:
  LinkRun(Trouble Kind, std::uint64_t Seed) : Kind_(Kind), Random_(Seed) {
    for (base::Duration Time{}; Time < 16s; Time += Step)
      step(Time);
  }

  /// Time from the beginning of the trouble until no upstream counts as
  /// reached; std::nullopt if they always did.
  std::optional<base::Duration> LostAfter_;
  std::optional<base::Duration> RegainedAfter_;

private:
  static constexpr base::Duration Step = 25ms;

  bool isInTrouble(base::Duration Time) const {
    return Kind_ != Trouble::None && Time >= 5s && Time < 12s;
  }

  bool isReached(int Upstream, base::Duration Time) const {
    if (!isInTrouble(Time) || Kind_ == Trouble::UpstreamsAreSlow)
      return true;
    return Kind_ == Trouble::ZoneIsLost && Upstream % 3 != 0;
  }

  void step(base::Duration Time) {
    const base::TimePoint Now = at(Time);
    for (auto Entry = Pending_.begin();
         Entry != Pending_.end() && Entry->first <= Time;
         Entry = Pending_.erase(Entry))
      Entry->second(Now);
    if (Random_.unit() < 30 * base::toSeconds(Step))
      request(static_cast<int>(Random_.unit() * 12), Time);
    Reachability_.setInFlight(InFlight_, Now);
    if (Reachability_.isProbeDue(12, Now))
      probe(Time);
    if (!Reachability_.reachesUpstreams() && !LostAfter_)
      LostAfter_ = Time - 5s;
    if (Reachability_.reachesUpstreams() && LostAfter_ && !RegainedAfter_)
      RegainedAfter_ = Time - 12s;
  }

  void request(int Upstream, base::Duration Time) {
    ++InFlight_;
    const bool IsNew = Random_.unit() < 0.2;
    if (isReached(Upstream, Time)) {
      if (IsNew)
        Reachability_.recordConnection(at(Time));
      const double Seconds = Kind_ == Trouble::UpstreamsAreSlow ? 5 : 0.7;
      const base::Duration End =
          Time + base::fromSeconds(Seconds * (0.5 + Random_.unit()));
      // A response under way is lost with the link.
      finish(End, [this, Upstream, End](base::TimePoint Now) {
        if (isReached(Upstream, End))
          Reachability_.recordResponse(Now);
      });
      return;
    }
    const bool IsRefused = Kind_ == Trouble::LinkRefuses;
    // What was sent on an older connection that hangs fails late.
    const base::Duration Failure = IsRefused ? 1ms : IsNew ? 350ms : 2s;
    finish(Time + Failure, [this, Upstream](base::TimePoint) {
      Reachability_.recordFailure(name(Upstream));
    });
  }

  void finish(base::Duration Time,
              const std::function<void(base::TimePoint)> &Action) {
    Pending_.emplace(Time, [this, Action](base::TimePoint Now) {
      --InFlight_;
      Action(Now);
    });
  }

  void probe(base::Duration Time) {
    Reachability_.beginProbe(at(Time));
    ProbeRound Round;
    Round.Started_ = at(Time);
    for (int Zone = 0; Zone < 3; ++Zone) {
      if (isReached(Zone, Time))
        ++Round.Connected_;
      else if (Kind_ == Trouble::LinkRefuses)
        ++Round.Refused_;
      else
        ++Round.Unanswered_;
    }
    Pending_.emplace(Time + (Round.Unanswered_ > 0 ? 250ms : 40ms),
                     [this, Round](base::TimePoint Now) {
                       Reachability_.finishProbe(Round, Now);
                     });
  }

  static base::UpstreamName name(int Number) {
    return base::UpstreamName("u" + std::to_string(Number));
  }

  Trouble Kind_;
  base::RandomEngine Random_;
  UpstreamReachability Reachability_;
  std::multimap<base::Duration, std::function<void(base::TimePoint)>> Pending_;
  int InFlight_ = 0;
};

// Callers keep an answer of the directory for up to 2 s, and are to be served
// 3 s after the loss.
constexpr base::Duration MaxDetection = 1s;

} // namespace

BOOST_FIXTURE_TEST_SUITE(upstreamreachabilitytest, Fixture)

BOOST_AUTO_TEST_CASE(failuresOfOneUpstreamRaiseNoSuspicion) {
  for (int I = 0; I < 10; ++I)
    Reachability_.recordFailure(name(1));
  BOOST_TEST(!Reachability_.isProbeDue(16, at(0s)));
  failThree();
  BOOST_TEST(Reachability_.isProbeDue(16, at(0s)));
}

BOOST_AUTO_TEST_CASE(connectionEndsSuspicion) {
  Reachability_.recordFailure(name(1));
  Reachability_.recordFailure(name(2));
  Reachability_.recordConnection(at(1s));
  Reachability_.recordFailure(name(3));
  BOOST_TEST(!Reachability_.isProbeDue(16, at(2s)));
}

BOOST_AUTO_TEST_CASE(silenceWithManyRequestsInFlightRaisesSuspicion) {
  Reachability_.recordResponse(at(1s));
  Reachability_.setInFlight(3, at(1s));
  BOOST_TEST(!Reachability_.isProbeDue(16, at(3s)));
  Reachability_.setInFlight(9, at(3s));
  BOOST_TEST(!Reachability_.isProbeDue(16, at(3300ms)));
  BOOST_TEST(Reachability_.isProbeDue(16, at(3400ms)));
  Reachability_.recordResponse(at(3450ms));
  BOOST_TEST(!Reachability_.isProbeDue(16, at(3800ms)));
}

BOOST_AUTO_TEST_CASE(failedRoundShowsThatNoUpstreamIsReached) {
  failThree();
  BOOST_TEST(probe(0, 6, 1s));
  BOOST_TEST(!Reachability_.reachesUpstreams());
  BOOST_TEST(!Reachability_.hasConnectedSince(at(0s)));
}

// Upstreams of one zone failed; those of the others are reached.
BOOST_AUTO_TEST_CASE(oneConnectionOfRoundRefutesSuspicion) {
  failThree();
  BOOST_TEST(!probe(1, 0, 1s));
  BOOST_TEST(Reachability_.reachesUpstreams());
  BOOST_TEST(!Reachability_.isProbeDue(16, at(5s)));
}

// Responses on older connections may go on while new ones get no answer, and a
// starved VM may miss the time limit of a round.
BOOST_AUTO_TEST_CASE(responsesOutweighOneUnansweredRound) {
  failThree();
  Reachability_.recordResponse(at(1100ms));
  BOOST_TEST(!probe(0, 0, 1s));
  BOOST_TEST(Reachability_.isProbeDue(16, at(1300ms)));
  Reachability_.recordResponse(at(1400ms));
  BOOST_TEST(probe(0, 0, 1300ms));
  BOOST_TEST(!Reachability_.reachesUpstreams());
}

BOOST_AUTO_TEST_CASE(returnNeedsTwoGoodRounds) {
  failThree();
  probe(0, 6, 1s);
  BOOST_TEST(!Reachability_.isProbeDue(16, at(1300ms)));
  BOOST_TEST(Reachability_.isProbeDue(16, at(1400ms)));
  BOOST_TEST(!probe(6, 0, 2s));
  BOOST_TEST(!probe(1, 5, 3s));
  BOOST_TEST(!probe(4, 2, 4s));
  BOOST_TEST(probe(6, 0, 5s));
  BOOST_TEST(Reachability_.reachesUpstreams());
  BOOST_TEST(!Reachability_.isProbeDue(16, at(6s)));
}

BOOST_AUTO_TEST_CASE(failureOfAllOfFewUpstreamsRaisesSuspicion) {
  Reachability_.recordFailure(name(1));
  BOOST_TEST(!Reachability_.isProbeDue(2, at(1s)));
  Reachability_.recordFailure(name(2));
  BOOST_TEST(Reachability_.isProbeDue(2, at(1s)));
  BOOST_TEST(!Reachability_.isProbeDue(0, at(1s)));
}

BOOST_AUTO_TEST_CASE(lossAndReturnOfLinkAreNoticedInTime) {
  for (const Trouble Kind : {Trouble::LinkRefuses, Trouble::LinkHangs})
    for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
      const LinkRun Run(Kind, Seed);
      BOOST_TEST_CONTEXT("seed " << Seed) {
        BOOST_TEST_REQUIRE(Run.LostAfter_.has_value());
        BOOST_TEST((*Run.LostAfter_ <= MaxDetection));
        BOOST_TEST_REQUIRE(Run.RegainedAfter_.has_value());
        BOOST_TEST((*Run.RegainedAfter_ >= 0s));
        BOOST_TEST((*Run.RegainedAfter_ <= 2s));
      }
    }
}

// A zone without power and upstreams that take seconds are no loss of the VM's
// link.
BOOST_AUTO_TEST_CASE(troubleOfUpstreamsIsNoLossOfLink) {
  for (const Trouble Kind :
       {Trouble::None, Trouble::ZoneIsLost, Trouble::UpstreamsAreSlow})
    for (std::uint64_t Seed = 1; Seed <= 30; ++Seed)
      BOOST_TEST(!LinkRun(Kind, Seed).LostAfter_.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
