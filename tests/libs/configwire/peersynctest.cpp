#include "configwire/peersync.h"

#include "base/manualclock.h"
#include "configwire/configpeerhandler.h"
#include "configwire/messages.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::configwire;
using namespace std::chrono_literals;

namespace {

class NullObserver final : public config::ConfigObserver {
public:
  void onChange(const config::ChangeSet &, const config::RecordSet &) override {
  }
  void onSnapshot(const config::RecordSet &) override {}
};

// VM with an agent and the handler that its peers call.
class Vm {
public:
  Vm(int Number, const base::Clock &Clock)
      : Freshness_({}),
        Agent_({base::VmAddress("127.1.1." + std::to_string(Number)), Number,
                base::ZoneName("zone")},
               {}, Freshness_, Observer_),
        Guarded_(Agent_), Handler_(Guarded_, Clock), Sync_(Guarded_, Clock) {}

  // Polls the table service, which returns Head as the newest revision.
  void poll(const base::Clock &Clock, config::Revision Head) {
    BOOST_TEST_REQUIRE(Agent_.nextStoreRequest(Clock.now()).has_value());
    Agent_.handleStoreReply(
        {config::TableOutcome::Done,
         {{"config/head", 1, "{\"revision\":" + std::to_string(Head) + "}"}},
         0});
  }

  NullObserver Observer_;
  trust::FreshnessTracker Freshness_;
  configagent::ConfigAgent Agent_;
  GuardedAgent Guarded_;
  ConfigPeerHandler Handler_;
  PeerSync Sync_;
};

config::RecordSet records(int Count, config::Revision At) {
  std::vector<config::RecordPtr> Records;
  Records.reserve(static_cast<std::size_t>(Count));
  for (int Number = 0; Number < Count; ++Number)
    Records.push_back(
        new config::Record({"key", std::to_string(Number)}, "{}", At));
  return config::RecordSet(At, Records);
}

} // namespace

BOOST_AUTO_TEST_SUITE(peersynctest)

BOOST_AUTO_TEST_CASE(pullsSnapshotChangesAndEvidence) {
  base::ManualClock Clock;
  Clock.advance(1h);
  Vm Relay(1, Clock);
  Vm Member(2, Clock);
  Relay.Agent_.install(records(3000, 2000));
  Relay.poll(Clock, 2000);
  Clock.advance(2s);
  Member.Sync_.pull(Relay.Handler_);
  BOOST_TEST((Member.Agent_.records() == Relay.Agent_.records()));
  BOOST_TEST((Member.Freshness_.asOf() == Clock.now() - 2s));
  configagent::PullReply Change;
  Change.Changes_ = {{2001,
                      config::OperationId("o"),
                      {{{"key", "1"}, std::nullopt}, {{"key", "x"}, "{}"}}}};
  Relay.Agent_.applyPullReply(Change, Clock.now());
  Member.Sync_.pull(Relay.Handler_);
  BOOST_TEST((Member.Agent_.records() == Relay.Agent_.records()));
  BOOST_TEST(Member.Agent_.records().revision() == 2001);
}

BOOST_AUTO_TEST_CASE(notifiedMembersWithholdPromises) {
  base::ManualClock Clock;
  Clock.advance(1h);
  std::vector<std::unique_ptr<Vm>> Vms;
  configagent::PullReply Roster;
  Roster.Changes_ = {{1, config::OperationId("o"), {}}};
  for (int Number = 1; Number <= 3; ++Number) {
    Vms.push_back(std::make_unique<Vm>(Number, Clock));
    Roster.Changes_.front().Changes_.push_back(
        trust::WriterRoster::add(Vms.back()->Agent_.self()));
  }
  for (auto &Peer : Vms) {
    Peer->Agent_.applyPullReply(Roster, Clock.now());
    Peer->poll(Clock, 1);
  }
  Vm &Writer = *Vms[0];
  const auto Base =
      Writer.Agent_.propose(config::OperationId("p"), {}, Clock.now());
  BOOST_TEST_REQUIRE(Base.has_value());
  BOOST_TEST(!Writer.Agent_.proposal()->isAnnounced());
  Writer.Sync_.announceIntent(Vms[1]->Agent_.self(), Vms[1]->Handler_);
  BOOST_TEST(Writer.Agent_.proposal()->isAnnounced());
  Clock.advance(10s);
  // Evidence needs two of three promises, but two of three members know of the
  // intent to commit.
  Vms[2]->Sync_.pull(Vms[1]->Handler_);
  Vms[2]->Sync_.pull(Vms[0]->Handler_);
  BOOST_TEST(!Vms[2]->Freshness_.isFresh(Clock.now()));
  configagent::PullReply Outcome;
  Outcome.Changes_ = {{2, config::OperationId("p"), {}}};
  Vms[1]->Agent_.applyPullReply(Outcome, Clock.now());
  Vms[2]->Sync_.pull(Vms[1]->Handler_);
  BOOST_TEST(Vms[2]->Agent_.records().revision() == 2);
  BOOST_TEST(Vms[2]->Freshness_.isFresh(Clock.now()));
}

BOOST_AUTO_TEST_CASE(readsNegativeAgeAsZero) {
  generated::PullReply Reply;
  generated::Evidence Evidence;
  Evidence.ageMicros = -1000000;
  Reply.__set_evidence(Evidence);
  BOOST_TEST(fromWire(Reply).Evidence_->Age_.count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
