#include "fleet.h"

#include "config/changecodec.h"
#include "config/configkeys.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::configagent;
using namespace ebony::configagent::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration StalenessLimit = 5s;

// Records the commits in the table and checks which keys every VM accepts.
class InvariantChecker {
public:
  explicit InvariantChecker(Fleet &TestFleet) : Fleet_(TestFleet) {
    Fleet_.platform().OnPut_ = [this](const config::RowPut &Put) {
      onPut(Put);
    };
    Fleet_.OnOutcome_ = [this](std::size_t, const std::string &Operation,
                               const config::CommitOutcome &Outcome) {
      Outcomes_[Operation] = Outcome;
    };
  }

  // Counts acceptances of revoked keys after the staleness limit, decreased
  // revisions, and acceptances during table outages.
  void check() {
    for (const auto &[Key, RevokedAt] : Revoked_)
      if (Fleet_.now() - RevokedAt > StalenessLimit)
        for (std::size_t Index = 0; Index < Fleet_.size(); ++Index)
          StaleAccepts_ += Fleet_.accepts(Index, Key) ? 1 : 0;
    for (std::size_t Index = 0; Index < Fleet_.size(); ++Index) {
      RevisionDecreased_ +=
          Fleet_.node(Index).Keys_->RevisionDecreased_ ? 1 : 0;
      AcceptedWithoutTable_ +=
          Fleet_.TableDown_ && Fleet_.accepts(Index, "steady") ? 1 : 0;
    }
  }

  // Counts reported outcomes that contradict the table.
  int wrongOutcomes() const {
    int WrongOutcomes = 0;
    for (const auto &[Operation, Outcome] : Outcomes_) {
      const auto CommittedOperation = Committed_.find(Operation);
      const bool IsCommitted = CommittedOperation != Committed_.end();
      const bool ReportedCommitted =
          Outcome.Result_ == config::CommitResult::Committed;
      WrongOutcomes += IsCommitted != ReportedCommitted ? 1 : 0;
      WrongOutcomes += IsCommitted && ReportedCommitted &&
                               CommittedOperation->second != Outcome.Revision_
                           ? 1
                           : 0;
    }
    return WrongOutcomes;
  }

  Fleet &Fleet_;
  std::map<std::string, TimePoint> Revoked_;
  std::map<std::string, config::Revision> Committed_;
  std::map<std::string, config::CommitOutcome> Outcomes_;
  config::Revision LastRevision_ = 0;
  int OutOfOrder_ = 0;
  int DuplicateCommits_ = 0;
  int StaleAccepts_ = 0;
  int RevisionDecreased_ = 0;
  int AcceptedWithoutTable_ = 0;

private:
  void onPut(const config::RowPut &Put) {
    if (Put.Key_.compare(0, config::ConfigKeys::changes().size(),
                         config::ConfigKeys::changes()) != 0)
      return;
    const auto Change = config::ChangeCodec::decodeChange(Put.Value_).value();
    OutOfOrder_ += Change.Revision_ != LastRevision_ + 1 ? 1 : 0;
    LastRevision_ = Change.Revision_;
    const std::string Operation = Change.Operation_.text();
    DuplicateCommits_ +=
        Committed_.emplace(Operation, Change.Revision_).second ? 0 : 1;
    for (const config::RecordChange &Item : Change.Changes_)
      if (Item.isDeletion())
        Revoked_.emplace(Item.Id_.Name_, Fleet_.now());
  }
};

// Starts or ends one random fault.
void injectRandomFault(Fleet &TestFleet) {
  base::RandomEngine &Random = TestFleet.random();
  const std::size_t Target = Random.below(TestFleet.size());
  const std::size_t Zone = TestFleet.node(Target).Zone_;
  switch (Random.below(8)) {
  case 0:
  case 1:
    TestFleet.TableDown_ = !TestFleet.TableDown_;
    break;
  case 2:
    TestFleet.ZonesCutOff_ = {};
    TestFleet.ZonesWithoutTable_ = {};
    break;
  case 3:
    TestFleet.ZonesCutOff_.insert(Zone);
    break;
  case 4:
    TestFleet.ZonesWithoutTable_.insert(Zone);
    break;
  case 5:
    TestFleet.restart(Target, Duration(Random.below(8000000)));
    break;
  case 6:
    TestFleet.pause(Target, Duration(Random.below(9000000)));
    break;
  default:
    TestFleet.LossProbability_ = Random.unit() * 0.3;
    TestFleet.LateProbability_ = Random.unit() * 0.3;
  }
}

// Proposes a random addition or revocation of a key, sometimes from two VMs at
// once.
void proposeRandomChange(Fleet &TestFleet, int *Serial) {
  base::RandomEngine &Random = TestFleet.random();
  const std::size_t Index = Random.below(TestFleet.size());
  const auto Join = TestFleet.node(Index).Agent_->joinChange(2);
  const std::string Operation = "operation" + std::to_string(++*Serial);
  if (Join && Random.chance(0.5)) {
    TestFleet.propose(Index, Operation, {*Join});
    return;
  }
  const auto &Names = TestFleet.node(Index).Keys_->Names_;
  std::vector<config::RecordChange> Changes{
      {{"Key", "key" + std::to_string(*Serial)}, "{}"}};
  if (Names.size() > 1 && Random.chance(0.6) && *Names.begin() != "steady")
    Changes = {{{"Key", *Names.begin()}, std::nullopt}};
  TestFleet.propose(Index, Operation, Changes);
  if (Random.chance(0.3))
    TestFleet.propose(Random.below(TestFleet.size()), Operation + "b", Changes);
}

void checkSchedule(std::uint64_t Seed, int *AcceptedWithoutTable) {
  Fleet TestFleet(Seed, 3, 2);
  InvariantChecker Checker(TestFleet);
  int Serial = 0;
  TestFleet.run(3s);
  TestFleet.propose(0, "first", {{{"Key", "steady"}, "{}"}});
  TestFleet.run(60s, [&] {
    if (TestFleet.random().chance(0.02))
      injectRandomFault(TestFleet);
    if (TestFleet.random().chance(0.15))
      proposeRandomChange(TestFleet, &Serial);
    Checker.check();
  });
  TestFleet.TableDown_ = false;
  TestFleet.ZonesCutOff_ = TestFleet.ZonesWithoutTable_ = {};
  TestFleet.LossProbability_ = TestFleet.LateProbability_ = 0;
  TestFleet.run(20s, [&] { Checker.check(); });
  BOOST_TEST_CONTEXT("seed " << Seed) {
    BOOST_TEST(Checker.StaleAccepts_ == 0);
    BOOST_TEST(Checker.RevisionDecreased_ == 0);
    BOOST_TEST(Checker.OutOfOrder_ == 0);
    BOOST_TEST(Checker.DuplicateCommits_ == 0);
    BOOST_TEST(Checker.wrongOutcomes() == 0);
    for (std::size_t Index = 0; Index < TestFleet.size(); ++Index)
      if (TestFleet.node(Index).Alive_)
        BOOST_TEST(TestFleet.node(Index).Agent_->records().revision() ==
                   Checker.LastRevision_);
  }
  *AcceptedWithoutTable += Checker.AcceptedWithoutTable_;
}

} // namespace

BOOST_AUTO_TEST_SUITE(configpropertytest)

BOOST_AUTO_TEST_CASE(revisionsIncreaseCommitsPersistAndRevokedKeysExpire) {
  int Accepted = 0;
  for (std::uint64_t Seed = 1; Seed <= 150; ++Seed)
    checkSchedule(Seed, &Accepted);
  // Some keys must be accepted on promises alone, without the table service.
  BOOST_TEST(Accepted > 1000);
}

BOOST_AUTO_TEST_SUITE_END()
