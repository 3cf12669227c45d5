#include "idempotency/submissionstore.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

using namespace ebony;
using namespace ebony::idempotency;
using namespace std::chrono_literals;
using Action = SubmissionDecision::Action;

namespace {

constexpr base::TimePoint Start;
const SubmissionOwner Self(base::VmAddress("127.1.1.1"), 5);

struct Fixture {
  Submission request(std::uint64_t Counter, std::uint32_t Attempt = 0,
                     std::uint64_t Number = 1, const char *Customer = "bank",
                     std::uint64_t Fingerprint = 7) const {
    return {base::CustomerName(Customer),
            IdempotencyKey(RequestSession(Self, 0, Number, 2), Counter),
            Attempt == 0 ? AttemptMark() : AttemptMark(Attempt), Fingerprint};
  }
  SubmissionDecision decide(const Submission &Request,
                            base::TimePoint Now = Start) {
    return Store_.decide(Request, Directory_, Now);
  }
  void complete(const Submission &Request, const std::string &Body) {
    Store_.finishRun(
        Request, Outcome::Complete,
        StoredAnswerPtr(new StoredAnswer(200, "text/plain", Body)));
  }

  HolderDirectory Directory_;
  SubmissionStore Store_{Self, {2, 2, 20, 25}, 1, Start, 10s};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(submissionstoretest, Fixture)

BOOST_AUTO_TEST_CASE(resendJoinsRunningCopyThenReplaysItsAnswer) {
  BOOST_CHECK(decide(request(1)).action() == Action::Run);
  BOOST_CHECK(decide(request(1)).action() == Action::Join);
  complete(request(1), "done");
  const auto Resent = decide(request(1));
  BOOST_CHECK(Resent.action() == Action::Replay);
  BOOST_TEST(Resent.answer()->body() == "done");
  BOOST_CHECK(decide(request(1, 0, 1, "bank", 8)).reason() ==
              Reason::KeyReused);
}

BOOST_AUTO_TEST_CASE(customersDoNotShareAnswers) {
  decide(request(1));
  complete(request(1), "done");
  BOOST_CHECK(decide(request(1, 0, 1, "fund")).action() == Action::Run);
}

BOOST_AUTO_TEST_CASE(keepsRunOutcomeWithoutAnswerThatIsTooLarge) {
  decide(request(1));
  complete(request(1), "more than ten bytes");
  decide(request(2));
  complete(request(2), "");
  const auto Resent = decide(request(1));
  BOOST_CHECK(Resent.reason() == Reason::AnswerNotStored);
  BOOST_CHECK(Resent.outcome() == Outcome::Complete);
}

BOOST_AUTO_TEST_CASE(refusesCountersBelowTheFloor) {
  for (std::uint64_t Counter : {1, 2, 3}) {
    decide(request(Counter));
    complete(request(Counter), "");
  }
  BOOST_CHECK(decide(request(1)).outcome() == Outcome::Unknown);
  BOOST_CHECK(decide(request(1, 1)).outcome() == Outcome::NotRun);
  BOOST_CHECK(decide(request(1)).reason() == Reason::CounterBelowFloor);
}

BOOST_AUTO_TEST_CASE(evictsSessionOnlyAfterItsWindow) {
  decide(request(1, 0, 1));
  complete(request(1, 0, 1), "");
  decide(request(1, 0, 2));
  BOOST_CHECK(decide(request(1, 0, 3)).reason() == Reason::RegistryFull);
  const Submission Later(base::CustomerName("bank"),
                         IdempotencyKey(RequestSession(Self, 2, 3, 2), 1),
                         AttemptMark(), 7);
  BOOST_CHECK(decide(Later, Start + 20s).action() == Action::Run);
  BOOST_CHECK(decide(request(1, 0, 1), Start + 20s).reason() ==
              Reason::SessionUnknown);
  BOOST_CHECK(decide(request(1, 0, 2), Start + 20s).action() == Action::Join);
}

BOOST_AUTO_TEST_CASE(reopensClosedKeyOnlyForAHigherAttempt) {
  decide(request(1, 1));
  decide(request(1, 2));
  Store_.finishRun(request(1, 1), Outcome::NotRun, nullptr);
  BOOST_CHECK(decide(request(1, 2)).reason() == Reason::KeyClosed);
  BOOST_CHECK(decide(request(1)).outcome() == Outcome::NotRun);
  BOOST_CHECK(decide(request(1, 3)).action() == Action::Run);
}

BOOST_AUTO_TEST_CASE(forwardsSubmissionsOfOtherOwnersOnce) {
  const SubmissionOwner OtherOwner(base::VmAddress("127.1.1.2"), 6);
  const Submission Request(
      base::CustomerName("bank"),
      IdempotencyKey(RequestSession(OtherOwner, 0, 1, 2), 1), AttemptMark(1),
      7);
  BOOST_CHECK(decide(Request) == SubmissionDecision::forward(OtherOwner));
  BOOST_CHECK(decide(Request.asRelayed(false)).reason() == Reason::NotOwner);
  BOOST_CHECK(decide(Request.asRelayed(false)).outcome() == Outcome::NotRun);
  BOOST_CHECK(decide(Request.asRelayed(true)).outcome() == Outcome::Unknown);
  Directory_.recordTerminated(OtherOwner);
  BOOST_CHECK(decide(Request).reason() == Reason::OwnerGone);
}

BOOST_AUTO_TEST_CASE(refusesEpochsThatHaveNotBegun) {
  const Submission Early(base::CustomerName("bank"),
                         IdempotencyKey(RequestSession(Self, 1, 1, 2), 1),
                         AttemptMark(), 7);
  BOOST_CHECK(decide(Early).reason() == Reason::SessionUnknown);
}

BOOST_AUTO_TEST_CASE(runsEachSubmissionOnceAcrossThreads) {
  SubmissionStore Shared(Self, RegistryLimits(), 4, Start, 10s);
  std::atomic<int> Runs = 0;
  const auto SubmitAll = [&] {
    for (std::uint64_t Number = 0; Number < 20; ++Number)
      for (std::uint64_t Counter = 0; Counter < 50; ++Counter) {
        const Submission Request = request(Counter, 0, Number);
        if (Shared.decide(Request, Directory_, Start).action() != Action::Run)
          continue;
        ++Runs;
        Shared.finishRun(Request, Outcome::Unknown, nullptr);
      }
  };
  std::vector<std::thread> Threads;
  Threads.reserve(4);
  for (int Index = 0; Index < 4; ++Index)
    Threads.emplace_back(SubmitAll);
  for (std::thread &Worker : Threads)
    Worker.join();
  BOOST_TEST(Runs.load() == 1000);
}

BOOST_AUTO_TEST_SUITE_END()
