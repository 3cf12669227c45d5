#include "fleet.h"

#include "config/configkeys.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::configagent;
using namespace ebony::configagent::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Zones = 6;
constexpr std::size_t PerZone = 2;
constexpr std::size_t IsolatedZone = 5;
constexpr Duration StalenessLimit = 5s;

// Number of keyed requests, sent every 50 ms to each VM, and of those refused.
struct RequestCounts {
  int Attempted_ = 0;
  int Refused_ = 0;

  double refusedShare() const {
    return Attempted_ == 0 ? 0 : static_cast<double>(Refused_) / Attempted_;
  }
};

// Fleet of production size, with all VMs on the roster and two valid keys.
class Scenario {
public:
  explicit Scenario(std::uint64_t Seed) : Fleet_(Seed, Zones, PerZone) {
    Fleet_.run(3s);
    Fleet_.propose(0, "give",
                   {{{"Key", "key"}, "{}"}, {{"Key", "other"}, "{}"}});
    for (int Round = 0; Round < 300 && members() < Zones * PerZone; ++Round) {
      const std::size_t Index = static_cast<std::size_t>(Round) % Fleet_.size();
      if (const auto Join = Fleet_.node(Index).Agent_->joinChange(PerZone))
        Fleet_.propose(Index, "join" + std::to_string(Round), {*Join});
      Fleet_.run(700ms);
    }
    BOOST_TEST_REQUIRE(members() == Zones * PerZone);
    Fleet_.run(3s);
  }

  std::size_t members() {
    return Fleet_.node(0).Agent_->roster().members().size();
  }

  // Sends requests with the key to all VMs for Time; counts the isolated zone
  // separately.
  void measure(Duration Time, const std::string &Key = "key") {
    Connected_ = Isolated_ = {};
    Fleet_.run(Time, [&] {
      for (std::size_t Index = 0; Index < Fleet_.size(); ++Index) {
        const Node &Target = Fleet_.node(Index);
        if (!Target.Alive_)
          continue;
        RequestCounts &Counts =
            Target.Zone_ == IsolatedZone ? Isolated_ : Connected_;
        ++Counts.Attempted_;
        Counts.Refused_ += Fleet_.accepts(Index, Key) ? 0 : 1;
      }
    });
  }

  void report(const char *Name) const {
    BOOST_TEST_MESSAGE(Name << ": refused " << 100 * Connected_.refusedShare()
                            << "% in zones 0-4, "
                            << 100 * Isolated_.refusedShare() << "% in zone 5");
  }

  // Revokes the key and measures the time from the commit until no VM outside
  // the isolated zone accepts it, and until no VM at all does.
  void revokeKey(std::size_t Index, Duration *Connected, Duration *Everywhere) {
    TimePoint Committed;
    Fleet_.platform().OnPut_ = [&](const config::RowPut &Put) {
      if (Put.Key_ == config::ConfigKeys::head())
        Committed = Fleet_.now();
    };
    BOOST_TEST_REQUIRE(
        Fleet_.propose(Index, "withdraw", {{{"Key", "key"}, std::nullopt}}));
    *Connected = *Everywhere = Duration(0);
    Fleet_.run(12s, [&] {
      for (std::size_t Vm = 0; Vm < Fleet_.size(); ++Vm) {
        if (Committed == TimePoint() || !Fleet_.accepts(Vm, "key"))
          continue;
        *Everywhere = Fleet_.now() - Committed;
        if (Fleet_.node(Vm).Zone_ != IsolatedZone)
          *Connected = Fleet_.now() - Committed;
      }
    });
    BOOST_TEST_REQUIRE((Committed != TimePoint()));
  }

  Fleet Fleet_;
  RequestCounts Connected_;
  RequestCounts Isolated_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(configscenariotest)

BOOST_AUTO_TEST_CASE(acceptsAllRequestsDuringTableOutage) {
  Scenario Case(1);
  Case.Fleet_.TableDown_ = true;
  Case.measure(180s);
  Case.report("table down for 180 s");
  BOOST_TEST(Case.Connected_.Refused_ + Case.Isolated_.Refused_ == 0);
}

BOOST_AUTO_TEST_CASE(onlyIsolatedZoneRefusesAfterStalenessLimit) {
  Scenario Case(2);
  Case.Fleet_.ZonesCutOff_ = {IsolatedZone};
  Case.measure(3s);
  BOOST_TEST(Case.Isolated_.Refused_ == 0);
  Case.Fleet_.run(StalenessLimit);
  Case.measure(120s);
  Case.report("zone 5 cut off for 120 s, from the limit on");
  BOOST_TEST(Case.Connected_.Refused_ == 0);
  BOOST_TEST(Case.Isolated_.refusedShare() == 1.0);
  // Open routes need a configuration but no freshness.
  BOOST_TEST(Case.Fleet_.node(Zones * PerZone - 1).Agent_->isReady());
  Case.Fleet_.ZonesCutOff_ = {};
  Case.Fleet_.run(2s);
  Case.measure(20s);
  BOOST_TEST(Case.Isolated_.Refused_ == 0);
}

BOOST_AUTO_TEST_CASE(refusesOnceTooFewWritersRemainDuringTableOutage) {
  Scenario Case(3);
  Case.Fleet_.TableDown_ = true;
  Case.Fleet_.crash(1);
  Case.measure(120s);
  Case.report("table down, 1 VM crashed");
  BOOST_TEST(Case.Connected_.Refused_ == 0);
  Case.Fleet_.crash(2);
  Case.measure(120s);
  Case.report("table down, 2 VMs crashed");
  BOOST_TEST(Case.Connected_.Refused_ == 0);
  Case.Fleet_.crash(4);
  Case.Fleet_.run(StalenessLimit);
  Case.measure(120s);
  Case.report("table down, 3 VMs crashed, from the limit on");
  BOOST_TEST(Case.Connected_.refusedShare() == 1.0);
  Case.Fleet_.TableDown_ = false;
  Case.Fleet_.run(2s);
  Case.measure(20s);
  BOOST_TEST(Case.Connected_.Refused_ == 0);
}

BOOST_AUTO_TEST_CASE(toleratesIsolatedZoneDuringTableOutage) {
  Scenario Case(4);
  Case.Fleet_.TableDown_ = true;
  Case.Fleet_.ZonesCutOff_ = {IsolatedZone};
  Case.Fleet_.run(StalenessLimit);
  Case.measure(120s);
  Case.report("table down, zone 5 cut off, from the limit on");
  BOOST_TEST(Case.Connected_.Refused_ == 0);
  BOOST_TEST(Case.Isolated_.refusedShare() == 1.0);
  Case.Fleet_.crash(1);
  Case.Fleet_.run(StalenessLimit);
  Case.measure(120s);
  Case.report("table down, zone 5 cut off, 1 VM crashed, from the limit on");
  BOOST_TEST(Case.Connected_.refusedShare() == 1.0);
}

BOOST_AUTO_TEST_CASE(restartedVmServesFromPeersDuringTableOutage) {
  Scenario Case(5);
  Case.Fleet_.TableDown_ = true;
  Case.Fleet_.run(3s);
  Case.Fleet_.restart(3, 1s);
  Case.Fleet_.run(4s);
  BOOST_TEST(Case.Fleet_.node(3).Agent_->isReady());
  BOOST_TEST(Case.Fleet_.accepts(3, "key"));
}

BOOST_AUTO_TEST_CASE(isNotReadyWithoutTableOrReadyPeer) {
  Fleet TestFleet(11, 3, 2);
  TestFleet.TableDown_ = true;
  TestFleet.run(10s);
  for (std::size_t Index = 0; Index < TestFleet.size(); ++Index)
    BOOST_TEST(!TestFleet.node(Index).Agent_->isReady());
  TestFleet.TableDown_ = false;
  TestFleet.run(3s);
  for (std::size_t Index = 0; Index < TestFleet.size(); ++Index)
    BOOST_TEST(TestFleet.node(Index).Agent_->isReady());
}

BOOST_AUTO_TEST_CASE(revocationTakesEffectWithinTwoSeconds) {
  Scenario Case(6);
  Duration Connected;
  Duration Everywhere;
  Case.revokeKey(4, &Connected, &Everywhere);
  BOOST_TEST_MESSAGE("revocation, connected: " << base::toSeconds(Everywhere));
  BOOST_TEST(base::toSeconds(Everywhere) <= 2.0);
}

BOOST_AUTO_TEST_CASE(isolatedZoneRefusesRevokedKeyAtStalenessLimit) {
  Scenario Case(7);
  Case.Fleet_.ZonesCutOff_ = {IsolatedZone};
  Duration Connected;
  Duration Everywhere;
  Case.revokeKey(4, &Connected, &Everywhere);
  BOOST_TEST_MESSAGE("revocation, zone isolated: "
                     << base::toSeconds(Connected) << " s connected, "
                     << base::toSeconds(Everywhere) << " s everywhere");
  BOOST_TEST(base::toSeconds(Connected) <= 2.0);
  BOOST_TEST(base::toSeconds(Everywhere) <= base::toSeconds(StalenessLimit));
}

// Only the zone of the writer reaches the table; the others rely on promises.
BOOST_AUTO_TEST_CASE(revocationByOnlyZoneThatReachesTable) {
  Scenario Case(8);
  Case.Fleet_.ZonesWithoutTable_ = {1, 2, 3, 4, 5};
  Case.measure(20s);
  BOOST_TEST(Case.Connected_.Refused_ + Case.Isolated_.Refused_ == 0);
  Duration Connected;
  Duration Everywhere;
  Case.revokeKey(0, &Connected, &Everywhere);
  BOOST_TEST_MESSAGE("revocation, one zone reaches the table: "
                     << base::toSeconds(Everywhere));
  BOOST_TEST(base::toSeconds(Everywhere) <= base::toSeconds(StalenessLimit));
}

// The table and the writer's zone fail at the commit, after the other members
// were notified of the intent, so no other VM learns of the commit itself.
BOOST_AUTO_TEST_CASE(revocationByWriterThatCrashesAfterCommit) {
  Scenario Case(9);
  Case.Fleet_.ZonesWithoutTable_ = {1, 2, 3, 4, 5};
  Case.Fleet_.run(10s);
  Case.Fleet_.platform().OnPut_ = [&](const config::RowPut &) {
    Case.Fleet_.TableDown_ = true;
    Case.Fleet_.crash(0);
    Case.Fleet_.crash(1);
  };
  BOOST_TEST_REQUIRE(
      Case.Fleet_.propose(0, "withdraw", {{{"Key", "key"}, std::nullopt}}));
  Case.Fleet_.run(1s);
  BOOST_TEST_REQUIRE(!Case.Fleet_.node(0).Alive_);
  Case.Fleet_.run(StalenessLimit);
  Case.measure(60s);
  Case.report("revocation whose writer and its zone crash at the commit");
  BOOST_TEST(Case.Connected_.refusedShare() == 1.0);
}

BOOST_AUTO_TEST_CASE(revocationWithLostReplyIsResolvedByReadBack) {
  Scenario Case(10);
  config::CommitOutcome Reported{config::CommitResult::Raced, 0};
  int OutcomeCount = 0;
  Case.Fleet_.OnOutcome_ = [&](std::size_t, const std::string &,
                               const config::CommitOutcome &Outcome) {
    Reported = Outcome;
    ++OutcomeCount;
  };
  Case.Fleet_.platform().OnPut_ = [&](const config::RowPut &) {
    Case.Fleet_.TableDown_ = true;
    Case.Fleet_.LossProbability_ = 1;
  };
  const auto Before = Case.Fleet_.node(4).Agent_->records().revision();
  Case.Fleet_.LossProbability_ = 1;
  Case.Fleet_.run(10ms);
  Case.Fleet_.LossProbability_ = 0;
  BOOST_TEST_REQUIRE(
      Case.Fleet_.propose(4, "withdraw", {{{"Key", "key"}, std::nullopt}}));
  Case.Fleet_.run(8s);
  Case.Fleet_.TableDown_ = false;
  Case.Fleet_.LossProbability_ = 0;
  Case.Fleet_.platform().OnPut_ = {};
  Case.Fleet_.run(5s);
  BOOST_TEST(OutcomeCount == 1);
  BOOST_TEST((Reported == config::CommitOutcome{config::CommitResult::Committed,
                                                Before + 1}));
  BOOST_TEST(!Case.Fleet_.accepts(9, "key"));
  BOOST_TEST(Case.Fleet_.accepts(9, "other"));
}

BOOST_AUTO_TEST_SUITE_END()
