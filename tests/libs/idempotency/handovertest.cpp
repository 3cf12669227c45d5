#include "idempotency/handoversender.h"
#include "idempotency/submissionstore.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::idempotency;
using namespace std::chrono_literals;
using Action = SubmissionDecision::Action;

namespace {

constexpr base::TimePoint Start;
constexpr base::Duration EpochSpan = 10s;

SubmissionOwner vm(int Number) {
  return {base::VmAddress("127.1.1." + std::to_string(Number)), Number};
}

Submission request(int Vm, std::uint64_t Counter, std::uint64_t Session = 1) {
  return {base::CustomerName("bank"),
          IdempotencyKey(RequestSession(vm(Vm), 0, Session, 2), Counter),
          AttemptMark(), 7};
}

struct Fixture {
  HolderDirectory Directory_;
  SubmissionStore First_{vm(1), {}, 2, Start, EpochSpan};
  SubmissionStore Second_{vm(2), {}, 3, Start, EpochSpan};
  SubmissionStore Third_{vm(3), {}, 1, Start, EpochSpan};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(handovertest, Fixture)

BOOST_AUTO_TEST_CASE(successorReplaysAnswersAndRunsNewSubmissions) {
  First_.decide(request(1, 1), Directory_, Start);
  First_.finishRun(
      request(1, 1), Outcome::Complete,
      StoredAnswerPtr(new StoredAnswer(200, "text/plain", "done")));
  First_.decide(request(1, 2), Directory_, Start);
  const Handover Offer = First_.seal(vm(2), Start);
  BOOST_CHECK(First_.decide(request(1, 3), Directory_, Start).reason() ==
              Reason::HandoverInProgress);
  BOOST_CHECK(Second_.acceptHandover(Offer, Start) == HandoverReply::Accepted);
  First_.recordSuccessor(vm(2));
  BOOST_CHECK(First_.decide(request(1, 3), Directory_, Start) ==
              SubmissionDecision::forward(vm(2)));
  BOOST_TEST(
      Second_.decide(request(1, 1), Directory_, Start).answer()->body() ==
      "done");
  BOOST_CHECK(Second_.decide(request(1, 2), Directory_, Start).reason() ==
              Reason::RunningAtPredecessor);
  const auto Notice = First_.finishRun(
      request(1, 2), Outcome::Complete,
      StoredAnswerPtr(new StoredAnswer(200, "text/plain", "late")));
  BOOST_TEST_REQUIRE(Notice.has_value());
  Second_.applyCompletion(*Notice);
  BOOST_CHECK(Second_.decide(request(1, 2), Directory_, Start).action() ==
              Action::Replay);
  BOOST_CHECK(Second_.decide(request(1, 3), Directory_, Start).action() ==
              Action::Run);
}

BOOST_AUTO_TEST_CASE(acceptsOnlyHandoversAddressedToThisIncarnation) {
  const Handover Offer = First_.seal(vm(2), Start);
  BOOST_CHECK(Third_.acceptHandover(Offer, Start) ==
              HandoverReply::NotAddressee);
  SubmissionStore Restarted(SubmissionOwner(vm(2).address(), 99), {}, 1, Start,
                            EpochSpan);
  BOOST_CHECK(Restarted.acceptHandover(Offer, Start) ==
              HandoverReply::NotAddressee);
  Second_.seal(vm(3), Start);
  BOOST_CHECK(Second_.acceptHandover(Offer, Start) == HandoverReply::Stopping);
}

BOOST_AUTO_TEST_CASE(secondCopyOfAHandoverHasNoEffect) {
  SubmissionStore Small(vm(2), {1, 1, 0, 0}, 1, Start, EpochSpan);
  First_.decide(request(1, 1), Directory_, Start);
  First_.finishRun(request(1, 1), Outcome::Unknown, nullptr);
  const Handover Offer = First_.seal(vm(2), Start);
  Small.acceptHandover(Offer, Start);
  const auto Later = Start + 2 * EpochSpan;
  Small.decide(request(1, 2), Directory_, Start);
  Small.finishRun(request(1, 2), Outcome::Unknown, nullptr);
  const Submission Fresh(base::CustomerName("bank"),
                         IdempotencyKey(RequestSession(vm(2), 2, 9, 9), 1),
                         AttemptMark(), 7);
  BOOST_CHECK(Small.decide(Fresh, Directory_, Later).action() == Action::Run);
  BOOST_CHECK(Small.acceptHandover(Offer, Later) == HandoverReply::Accepted);
  BOOST_CHECK(Small.decide(request(1, 2), Directory_, Later).action() ==
              Action::Answer);
}

BOOST_AUTO_TEST_CASE(inheritedWindowStaysClosedAtTheNextSuccessor) {
  Second_.acceptHandover(First_.seal(vm(2), Start), Start);
  const auto Later = Start + EpochSpan;
  Third_.acceptHandover(Second_.seal(vm(3), Later), Later);
  BOOST_CHECK(Third_.decide(request(1, 1), Directory_, Later).reason() ==
              Reason::SessionUnknown);
  BOOST_CHECK(Third_.decide(request(2, 1), Directory_, Later).action() ==
              Action::Run);
}

BOOST_AUTO_TEST_CASE(unansweredOfferAllowsNoOtherSuccessor) {
  HandoverSender Sender;
  BOOST_TEST(Sender.tryOffer(vm(2)));
  Sender.recordNotSent();
  BOOST_TEST(Sender.tryOffer(vm(3)));
  BOOST_TEST(!Sender.tryOffer(vm(2)));
  BOOST_TEST(Sender.tryOffer(vm(3)));
  Sender.recordNotSent();
  BOOST_TEST(!Sender.tryOffer(vm(2)));
  Sender.recordReply(HandoverReply::NotAddressee);
  BOOST_TEST(!Sender.tryOffer(vm(2)));
  Sender.recordReply(HandoverReply::Stopping);
  BOOST_TEST(Sender.tryOffer(vm(2)));
  Sender.recordReply(HandoverReply::Accepted);
  BOOST_TEST(!Sender.tryOffer(vm(2)));
  BOOST_CHECK(Sender.state() == HandoverSender::State::Accepted);
}

BOOST_AUTO_TEST_SUITE_END()
