#include "traffic/dispatcher.h"
#include "libs/traffic/fixtures.h"

#include <boost/test/unit_test.hpp>

#include <queue>

using namespace ebony;
using namespace ebony::traffic;
using namespace ebony::traffic::fixtures;

namespace {

struct Fixture {
  UpstreamTable Table_ = table();
  ColdUpstreamLimiter Cold_{"vm1", 0.8};
  Dispatcher Dispatcher_{Table_, PlacementOrder(base::RegionName("east"), 3),
                         Cold_, DispatcherSettings(), base::RandomEngine(1)};

  Fixture() {
    auto Rules = std::make_shared<TrafficRules>(1, CallerLimits());
    Rules->addService({base::ServiceName("status"), 3s, 6.0});
    Dispatcher_.setRules(Rules);
  }

  Placement send(JobId Id, base::TimePoint Now, std::uint64_t Object = 7) {
    auto One = job(Id, Now, Object);
    Placement Found = Dispatcher_.submit(One, Now);
    if (Found.Action_ == PlacementAction::Send)
      Dispatcher_.beginAttempt(Found, *One, Now);
    return Found;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(dispatchertest, Fixture)

BOOST_AUTO_TEST_CASE(anObjectGoesToItsUpstreamAndWaitsForIt) {
  Table_.put(upstream("u1", "east-a", 2), at(0s));
  BOOST_TEST((send(1, at(0s)).Action_ == PlacementAction::Send));
  BOOST_TEST((send(2, at(0s)).Action_ == PlacementAction::Send));
  BOOST_TEST((send(3, at(0s)).Action_ == PlacementAction::Wait));
  BOOST_TEST(Dispatcher_.waitingCount() == 1U);
}

BOOST_AUTO_TEST_CASE(theNextOfTheObjectsOrderServesWhenTheFirstIsFull) {
  Table_.put(upstream("u1", "east-a", 1), at(0s));
  Table_.put(upstream("u2", "east-a", 9), at(0s));
  std::set<std::string> Used;
  for (JobId Id = 1; Id <= 6; ++Id) {
    const Placement Found = send(Id, at(0s));
    BOOST_TEST_REQUIRE((Found.Action_ == PlacementAction::Send));
    Used.insert(Found.Upstream_->Entry_.Name_.text());
  }
  BOOST_TEST(!Used.empty());
}

BOOST_AUTO_TEST_CASE(whatCannotBeServedInTimeIsRefusedAtOnce) {
  Table_.put(upstream("u1", "east-a", 1), at(0s));
  int Refused = 0;
  for (JobId Id = 1; Id <= 20; ++Id) {
    const Placement Found = send(Id, at(0s));
    if (Found.Action_ != PlacementAction::Refuse)
      continue;
    ++Refused;
    BOOST_TEST((Found.RetryAfter_ > 0s));
  }
  BOOST_TEST(Refused >= 15);
}

BOOST_AUTO_TEST_CASE(withoutUpstreamsNothingWaits) {
  const Placement Found = send(1, at(0s));
  BOOST_TEST((Found.Action_ == PlacementAction::Refuse));
  BOOST_TEST(Found.Reason_ == "no-upstream");
}

BOOST_AUTO_TEST_CASE(aSlotThatBecomesFreeGoesToOneThatWaits) {
  Table_.put(upstream("u1", "east-a", 2), at(0s));
  send(9, at(0s));
  auto First = job(1, at(0s));
  const Placement Sent = Dispatcher_.submit(First, at(0s));
  Dispatcher_.beginAttempt(Sent, *First, at(0s));
  auto Second = job(2, at(0s));
  BOOST_TEST_REQUIRE(
      (Dispatcher_.submit(Second, at(0s)).Action_ == PlacementAction::Wait));
  BOOST_TEST(Dispatcher_.poll(at(100ms)).empty());
  Dispatcher_.finishAttempt(Sent, *First, AttemptResult::Answered, 200ms,
                            at(200ms));
  const auto Decided = Dispatcher_.poll(at(200ms));
  BOOST_TEST_REQUIRE(Decided.size() == 1U);
  BOOST_TEST((Decided.front().second.Action_ == PlacementAction::Send));
}

BOOST_AUTO_TEST_CASE(aRequestIsNotSentTwiceToOneUpstream) {
  Table_.put(upstream("u1", "east-a", 4), at(0s));
  auto One = job(1, at(0s));
  const Placement Sent = Dispatcher_.submit(One, at(0s));
  Dispatcher_.beginAttempt(Sent, *One, at(0s));
  Dispatcher_.finishAttempt(Sent, *One, AttemptResult::Shed, 10ms, at(10ms));
  BOOST_TEST(
      (Dispatcher_.submit(One, at(10ms)).Action_ == PlacementAction::Refuse));
}

// A silent upstream is left only when another can still answer in time: with
// 100 ms left none can, and the caller would get a failure for nothing.
BOOST_AUTO_TEST_CASE(aRepeatHasToFitIntoTheTimeLeft) {
  Table_.put(upstream("u1", "east-a", 4), at(0s));
  Table_.put(upstream("u2", "east-a", 4), at(0s));
  auto One = job(1, at(0s));
  const Placement Sent = Dispatcher_.submit(One, at(0s));
  Dispatcher_.beginAttempt(Sent, *One, at(0s));
  BOOST_TEST(Dispatcher_.canRetry(*One, at(500ms)));
  BOOST_TEST(!Dispatcher_.canRetry(*One, at(1400ms)));
}

// Incident inc-8e1f: an upstream turns so slow that it answers only "deadline"
// at the limit, while nobody refuses and nothing else fails. Its object has to
// move after a few of them, and the upstream is tried again later.
BOOST_AUTO_TEST_CASE(anUpstreamThatAnswersOnlyAtTheDeadlineLosesItsObjects) {
  Table_.put(upstream("u1", "east-a", 4), at(0s));
  Table_.put(upstream("u2", "east-a", 4), at(0s));
  base::TimePoint Now = at(0s);
  const auto ServeOne = [&](JobId Id, const base::UpstreamName *Slow) {
    auto One = job(Id, Now);
    const Placement Chosen = Dispatcher_.submit(One, Now);
    BOOST_TEST_REQUIRE((Chosen.Action_ == PlacementAction::Send));
    Dispatcher_.beginAttempt(Chosen, *One, Now);
    base::UpstreamName Name = Chosen.Upstream_->Entry_.Name_;
    const bool IsSlow = Slow && Name == *Slow;
    const base::Duration Taken = IsSlow ? 1500ms : 200ms;
    Now += Taken;
    Dispatcher_.finishAttempt(
        Chosen, *One, IsSlow ? AttemptResult::Failed : AttemptResult::Answered,
        Taken, Now);
    return Name;
  };
  const base::UpstreamName Preferred = ServeOne(1, nullptr);
  int AtSlow = 0;
  // Successes between keep the failures in a row too few for an ejection.
  for (JobId Id = 2; Id < 12; ++Id)
    if (ServeOne(Id, Id % 3 == 0 ? nullptr : &Preferred) == Preferred)
      ++AtSlow;
  BOOST_TEST(AtSlow <= 5);
  Now += 120s;
  BOOST_TEST(ServeOne(20, nullptr).text() == Preferred.text());
}

// Some time passes between a caller's first byte and the decision, for a body
// or a borrowed token; the request is no less new for it.
BOOST_AUTO_TEST_CASE(aRequestThatWasReadSlowlyIsRefusedAtOverloadToo) {
  Table_.put(upstream("u1", "east-a", 1), at(0s));
  std::size_t Refused = 0;
  for (JobId Id = 1; Id <= 20; ++Id) {
    auto One = job(Id, at(0s));
    const Placement Found = Dispatcher_.submit(One, at(3ms));
    if (Found.Action_ == PlacementAction::Send)
      Dispatcher_.beginAttempt(Found, *One, at(3ms));
    if (Found.Reason_ == "overload")
      ++Refused;
  }
  BOOST_TEST(Refused >= 15U);
}

// What would be refused is known before quota is spent on it, and asking does
// not take the request in.
BOOST_AUTO_TEST_CASE(aRefusalIsForeseenWithoutTakingTheRequestIn) {
  Table_.put(upstream("u1", "east-a", 1), at(0s));
  BOOST_TEST(!Dispatcher_.predictRefusal(*job(1, at(0s)), at(0s)).has_value());
  BOOST_TEST(Dispatcher_.waitingCount() == 0U);
  for (JobId Id = 1; Id <= 20; ++Id) {
    const bool IsForeseen =
        Dispatcher_.predictRefusal(*job(Id, at(0s)), at(0s)).has_value();
    const bool IsRefused = send(Id, at(0s)).Action_ == PlacementAction::Refuse;
    BOOST_TEST(IsForeseen == IsRefused);
  }
}

// A constant overload of twice the slots: requests that are taken in are
// answered in time, and none is refused after a long wait.
BOOST_AUTO_TEST_CASE(underOverloadThoseTakenInAreServedInTime) {
  Table_.put(upstream("u1", "east-a", 4), at(0s));
  constexpr base::Duration Work = 300ms;
  struct Running {
    base::TimePoint Ends_;
    Placement Chosen_;
    std::shared_ptr<Job> Job_;
    bool operator<(const Running &Other) const { return Ends_ > Other.Ends_; }
  };
  std::priority_queue<Running> Active;
  int InTime = 0;
  int Late = 0;
  int RefusedLate = 0;
  const auto Start = [&](const Placement &Chosen, std::shared_ptr<Job> One,
                         base::TimePoint Now) {
    Active.push({Now + Work, Chosen, std::move(One)});
  };
  JobId Id = 0;
  for (base::Duration Time{}; Time < 30s; Time += 5ms) {
    const base::TimePoint Now = at(Time);
    while (!Active.empty() && Active.top().Ends_ <= Now) {
      const Running Done = Active.top();
      Active.pop();
      Dispatcher_.finishAttempt(Done.Chosen_, *Done.Job_,
                                AttemptResult::Answered, Work, Now);
      (Now <= Done.Job_->ObjectiveDeadline_ ? InTime : Late)++;
    }
    for (auto &[One, Found] : Dispatcher_.poll(Now)) {
      std::shared_ptr<Job> Kept = std::move(One);
      if (Found.Action_ == PlacementAction::Send)
        Start(Found, Kept, Now);
      else if (Now - Kept->Arrived_ > 600ms)
        ++RefusedLate;
    }
    // 4 slots serve 13.3 a second; 27 come.
    if (Time % 40ms != 0ms)
      continue;
    auto One = job(++Id, Now);
    const Placement Found = Dispatcher_.submit(One, Now);
    if (Found.Action_ != PlacementAction::Send)
      continue;
    Dispatcher_.beginAttempt(Found, *One, Now);
    Start(Found, std::move(One), Now);
  }
  BOOST_TEST_MESSAGE("in time " << InTime << ", late " << Late
                                << ", refused late " << RefusedLate);
  // 30 s of 13.3 a second are 400; nine tenths of the slots' time is used.
  BOOST_TEST(InTime + Late >= 360);
  BOOST_TEST(InTime >= 9 * Late);
  BOOST_TEST(RefusedLate == 0);
}

BOOST_AUTO_TEST_SUITE_END()
