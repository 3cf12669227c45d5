#include "base/randomengine.h"
#include "load/answercheck.h"
#include "load/ledgeraudit.h"
#include "load/rateaudit.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>

using namespace ebony;
using namespace ebony::load;
using namespace std::chrono_literals;

namespace {

// Returns the largest excess over rate and burst of any time window. Checks
// all windows exhaustively, as a reference for countOverRate().
double worstExcess(const std::vector<AdmissionWindow> &Served, double Rate,
                   double Burst) {
  double Worst = 0;
  for (const AdmissionWindow &First : Served)
    for (const AdmissionWindow &Last : Served) {
      const auto Inside =
          std::ranges::count_if(Served, [&](const auto &Window) {
            return Window.Sent_ >= First.Sent_ &&
                   Window.Answered_ <= Last.Answered_;
          });
      if (Last.Answered_ >= First.Sent_)
        Worst = std::max(
            Worst, static_cast<double>(Inside) - Burst -
                       Rate * base::toSeconds(Last.Answered_ - First.Sent_));
    }
  return Worst;
}

RequestRecord refused(const std::string &Id, const std::string &Operation) {
  RequestRecord Record;
  Record.Operation_ = Operation;
  Record.Attempts_ = {{Id, Outcome::NotRun, 503}};
  return Record;
}

IncomingAnswer answer(const std::string &Body) {
  IncomingAnswer Answer;
  Answer.State_ = AnswerState::Complete;
  Answer.Status_ = 200;
  Answer.RequestId_ = "r1";
  Answer.SentSha256_ = "d";
  Answer.Body_ = Body;
  return Answer;
}

} // namespace

BOOST_AUTO_TEST_SUITE(audittest)

BOOST_AUTO_TEST_CASE(rateAuditAgreesWithExhaustiveWindowCheck) {
  for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
    base::RandomEngine Random(Seed);
    std::vector<AdmissionWindow> Served;
    for (int Index = 0; Index < 40; ++Index) {
      const base::Duration Sent(Random.below(2'000'000));
      Served.push_back({Sent, Sent + base::Duration(Random.below(100'000))});
    }
    const double Rate = 10.0 + static_cast<double>(Random.below(10));
    const double Burst = 5.0 + static_cast<double>(Random.below(15));
    const double Excess = worstExcess(Served, Rate, Burst);
    const int OverRate = countOverRate(Served, Rate, Burst);
    BOOST_TEST((OverRate > 0) == (Excess > 1e-6),
               "seed " << Seed << " over " << OverRate << " excess " << Excess);
  }
}

BOOST_AUTO_TEST_CASE(rateAuditCountsRequestsOverBurst) {
  const std::vector<AdmissionWindow> Simultaneous(7, {1s, 1s});
  BOOST_TEST(countOverRate(Simultaneous, 10, 5) == 2);
  const std::vector<AdmissionWindow> Slow(7, {1s, 1200ms});
  BOOST_TEST(countOverRate(Slow, 10, 5) == 0);
}

BOOST_AUTO_TEST_CASE(ledgerAuditCountsDuplicateRunsAndFalseRefusals) {
  Ledger Observed;
  Observed.Runs_ = {{"r1", "atlas", "s.1", 1},
                    {"r2", "atlas", "s.2", 1},
                    {"r3", "atlas", "", 1}};
  BOOST_TEST(countRanTwice(Observed) == 0);
  Ledger Other;
  Other.Runs_ = {{"r9", "atlas", "s.1", 1}, {"r3", "atlas", "", 1}};
  Observed.merge(Other);
  BOOST_TEST(countRanTwice(Observed) == 2);
  BOOST_TEST(countFalseNotRun({refused("r4", ""), refused("r5", "s.7")},
                              Observed) == 0);
  BOOST_TEST(countFalseNotRun({refused("r3", ""), refused("r6", "s.2")},
                              Observed) == 2);
}

BOOST_AUTO_TEST_CASE(echoCheckDetectsMismatchAndTruncation) {
  const std::string MatchingBody =
      R"({"requestId":"r1","customer":"atlas","target":"/t?n=7","bodySha256":"d"})";
  const ExpectedEcho Expected{"atlas", "/t?n=7", true};
  BOOST_TEST(
      (checkEcho(answer(MatchingBody), Expected) == EchoCheckResult::Matching));
  BOOST_TEST((checkEcho(answer(MatchingBody), {"hydra", "/t?n=7", true}) ==
              EchoCheckResult::Mismatched));
  BOOST_TEST((checkEcho(answer(MatchingBody), {"atlas", "/t?n=8", true}) ==
              EchoCheckResult::Mismatched));
  BOOST_TEST((checkEcho(answer(MatchingBody.substr(0, 20)), Expected) ==
              EchoCheckResult::Truncated));
}

BOOST_AUTO_TEST_SUITE_END()
