#include "base/manualclock.h"
#include "libs/vm/requestpathfixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace ebony;
using namespace ebony::vm;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seeds = 10;
constexpr int VmCount = 78;
constexpr int UpstreamsPerZone = 5;
constexpr int RequestsPerSecond = 250;
constexpr base::Duration ColdDuration = 3s;
constexpr double ColdRate = 5.7;
constexpr double ColdOverrun = 1.5;
constexpr double ColdSlack = 8;
constexpr double LimitPerSecond = ColdRate * ColdOverrun + ColdSlack;

/// Times on a day on which the upstreams of zone "a" lose the way to the store.
struct Times {
  base::Duration Lapse_{};
  base::Duration ListedAgain_{};
  /// When the first entry arrives that says how long the upstreams are cold.
  base::Duration ColdListed_{};
  base::Duration ColdUntil_{};
  std::optional<base::Duration> Evacuated_;
  base::Duration TakenBack_{};
};

/// VMs in virtual time, from the rows of the store to the upstreams that are
/// chosen for callers' requests.
class Fleet {
public:
  explicit Fleet(std::uint64_t Seed) : Random_(Seed) {
    Clock_.advance(10s);
    Rows_["operators"] = {{"configuration", "", 1, false}};
    for (const char *Zone : {"a", "b"})
      for (int I = 0; I < UpstreamsPerZone; ++I)
        Rows_["upstreams"].push_back(entryOf(Zone, I, 0s, 1));
    for (int I = 0; I < VmCount; ++I)
      addVm(I);
    Context_.poll();
  }

  void play(const Times &Day, base::Duration Length) {
    for (base::Duration Time{}; Time < Length; Time += Step) {
      const auto IsAt = [Time](base::Duration Event) {
        return Time <= Event && Event < Time + Step;
      };
      if (Day.Evacuated_ && IsAt(*Day.Evacuated_))
        change("operators", {{"evacuate/a", "", ++Version_, false}});
      if (IsAt(Day.Lapse_))
        changeZone([](store::Row &Row) { Row.IsRemoved_ = true; });
      if (Day.Evacuated_ && IsAt(Day.TakenBack_))
        change("operators", {{"evacuate/a", "", ++Version_, true}});
      if (IsAt(Day.ListedAgain_))
        changeZone([](store::Row &) {});
      if (IsAt(Day.ColdListed_))
        changeZone([&](store::Row &Row) {
          Row.Value_ = coldText(Day.ColdUntil_ - Time);
        });
      finishAttempts(Time);
      for (int I = 0; I < RequestsPerSecond * Step / 1s; ++I)
        request(Time);
      Clock_.advance(Step);
    }
  }

  /// Returns the most requests that an upstream of zone "a" got in a second
  /// between two times.
  int mostPerSecond(base::Duration From, base::Duration To) const {
    std::ptrdiff_t Most = 0;
    for (const auto &[Name, Sent] : Arrivals_)
      for (auto First = Sent.begin(); First != Sent.end(); ++First)
        if (*First >= From && *First + 1s <= To)
          Most = std::max(
              Most, std::upper_bound(First, Sent.end(), *First + 1s) - First);
    return static_cast<int>(Most);
  }

  int arrivals(base::Duration From, base::Duration To) const {
    std::ptrdiff_t Count = 0;
    for (const auto &[Name, Sent] : Arrivals_)
      Count += std::lower_bound(Sent.begin(), Sent.end(), To) -
               std::lower_bound(Sent.begin(), Sent.end(), From);
    return static_cast<int>(Count);
  }

private:
  static constexpr base::Duration Step = 20ms;
  static constexpr base::Duration ProcessingTime = 200ms;

  struct Vm {
    std::unique_ptr<VmState> State_;
    std::unique_ptr<StateSynchronizer> Synchronizer_;
  };
  struct Attempt {
    base::Duration End_{};
    VmState *State_ = nullptr;
    traffic::Placement Placement_;
    std::unique_ptr<traffic::Job> Job_;
  };

  static std::string coldText(base::Duration Span) {
    return std::to_string(Span / 1ms);
  }

  static store::Row entryOf(const std::string &Zone, int Number,
                            base::Duration Cold, std::int64_t Version) {
    return {Zone + std::to_string(Number), coldText(Cold), Version, false};
  }

  PlatformBinding makeBinding() {
    PlatformBinding Binding = makeTestBinding(Context_, Rows_);
    const auto Decode = Binding.DecodeConfiguration_;
    Binding.DecodeConfiguration_ = [Decode](const std::string &Text) {
      auto Rules =
          std::make_shared<traffic::TrafficRules>(*Decode(Text).value());
      Rules->addService({base::ServiceName("s"), ColdDuration, ColdRate});
      return base::Checked<traffic::TrafficRulesPtr>(std::move(Rules));
    };
    Binding.DecodeUpstream_ = [](const store::Row &Row) {
      traffic::UpstreamEntry Entry;
      Entry.Name_ = base::UpstreamName(Row.Key_);
      Entry.Service_ = base::ServiceName("s");
      Entry.Address_ = "127.0.0.1";
      Entry.Zone_ = base::ZoneName(Row.Key_.substr(0, 1));
      Entry.Slots_ = 9;
      Entry.ColdRemaining_ = std::chrono::milliseconds(std::stoi(Row.Value_));
      Entry.StartedUnixMs_ = 1;
      return std::optional(Entry);
    };
    return Binding;
  }

  void addVm(int Number) {
    VmSettings Settings;
    Settings.Name_ = nameOf(Number);
    Settings.Region_ = base::RegionName("r");
    for (const char *Zone : {"a", "b"})
      Settings.Zones_[base::ZoneName(Zone)] = Settings.Region_;
    FleetBounds Bounds;
    Bounds.ColdOverrun_ = ColdOverrun;
    Bounds.ColdSlack_ = ColdSlack;
    Vm Made;
    Made.State_ = std::make_unique<VmState>(Context_, Clock_, Settings, Bounds,
                                            makeBinding(), Random_());
    Made.Synchronizer_ = std::make_unique<StateSynchronizer>(*Made.State_);
    Made.Synchronizer_->start();
    std::vector<std::string> Others;
    for (int I = 0; I < VmCount; ++I)
      if (I != Number)
        Others.push_back(nameOf(I));
    Made.State_->ColdLimiter_.setOtherVms(Others, Clock_.now());
    Vms_.push_back(std::move(Made));
  }

  static std::string nameOf(int Number) {
    return "vm" + std::to_string(Number);
  }

  /// Tells all VMs of a change in the store.
  void change(const std::string &Table, const std::vector<store::Row> &Rows) {
    peers::TableNews News;
    News.Table_ = Table;
    News.After_ = Positions_[Table];
    News.Changes_.Rows_ = Rows;
    News.Changes_.Version_ = Positions_[Table] = Version_;
    for (const Vm &One : Vms_)
      BOOST_TEST(One.State_->News_.deliver(News));
  }

  void changeZone(const std::function<void(store::Row &)> &Adjust) {
    std::vector<store::Row> Rows;
    for (int I = 0; I < UpstreamsPerZone; ++I) {
      Rows.push_back(entryOf("a", I, 0s, ++Version_));
      Adjust(Rows.back());
    }
    change("upstreams", Rows);
  }

  void request(base::Duration Time) {
    VmState &State = *Vms_[Random_() % Vms_.size()].State_;
    auto Request = std::make_unique<traffic::Job>();
    Request->Id_ = ++LastJob_;
    Request->Service_ = base::ServiceName("s");
    Request->Route_ = "read";
    Request->RetryPolicy_ = traffic::RetryPolicy::Idempotent;
    Request->ObjectHash_ = Random_();
    Request->LatencyObjective_ = 600ms;
    Request->Arrived_ = State.now();
    Request->ObjectiveDeadline_ = State.now() + 600ms;
    Request->Deadline_ = State.now() + 5s;
    const traffic::Placement Chosen =
        State.Dispatcher_.submit(Request, State.now());
    if (Chosen.Action_ == traffic::PlacementAction::Wait)
      State.Dispatcher_.cancel(LastJob_);
    if (Chosen.Action_ != traffic::PlacementAction::Send)
      return;
    State.Dispatcher_.beginAttempt(Chosen, *Request, State.now());
    const std::string Name = Chosen.Upstream_->Entry_.Name_.text();
    if (Name.starts_with("a"))
      Arrivals_[Name].push_back(Time);
    Attempts_.push_back(
        {Time + ProcessingTime, &State, Chosen, std::move(Request)});
  }

  void finishAttempts(base::Duration Time) {
    while (!Attempts_.empty() && Attempts_.front().End_ <= Time) {
      const Attempt &Oldest = Attempts_.front();
      Oldest.State_->Dispatcher_.finishAttempt(
          Oldest.Placement_, *Oldest.Job_, traffic::AttemptResult::Answered,
          ProcessingTime, Oldest.State_->now());
      Attempts_.pop_front();
    }
  }

  boost::asio::io_context Context_{1};
  base::ManualClock Clock_;
  FakeRows Rows_;
  base::RandomEngine Random_;
  std::vector<Vm> Vms_;
  std::int64_t Version_ = 10;
  std::map<std::string, std::int64_t> Positions_;
  traffic::JobId LastJob_ = 0;
  std::deque<Attempt> Attempts_;
  std::map<std::string, std::vector<base::Duration>> Arrivals_;
};

base::Duration between(base::RandomEngine &Random, base::Duration From,
                       base::Duration To) {
  return From + base::fromSeconds(base::toSeconds(To - From) * Random.unit());
}

/// The upstreams go cold between the lapse of their entries and their return.
void checkDay(Fleet &Played, const Times &Day, std::uint64_t Seed) {
  Played.play(Day, 18s);
  BOOST_TEST_CONTEXT("seed " << Seed) {
    BOOST_TEST(Played.arrivals(0s, 2s) > 0);
    BOOST_TEST(Played.mostPerSecond(Day.Lapse_, Day.ColdUntil_) <=
               LimitPerSecond);
    BOOST_TEST(Played.arrivals(16s, 18s) >= Played.arrivals(0s, 2s) * 2 / 3);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(relistedupstreamfloodtest)

// Incident FAILBACK: upstreams lose their entries while their zone is evacuated
// and taken back, and come back with entries from before.
BOOST_AUTO_TEST_CASE(upstreamsListedAgainAfterEvacuationAreNotFlooded) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    base::RandomEngine Random(Seed);
    Times Day;
    Day.Evacuated_ = 3s;
    Day.Lapse_ = 6s;
    Day.TakenBack_ = between(Random, 7s, 10s);
    Day.ListedAgain_ = Day.TakenBack_ + between(Random, 100ms, 1500ms);
    Day.ColdUntil_ = Day.TakenBack_ + ColdDuration;
    Day.ColdListed_ = Day.ListedAgain_ + between(Random, 500ms, 1400ms);
    Fleet Played(Seed);
    checkDay(Played, Day, Seed);
  }
}

// The same without an evacuation: only the entries tell that the upstreams
// have gone cold.
BOOST_AUTO_TEST_CASE(upstreamsListedAgainWithOldEntriesAreNotFlooded) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    base::RandomEngine Random(Seed);
    Times Day;
    Day.Lapse_ = 6s;
    Day.ListedAgain_ = between(Random, 7s, 9s);
    Day.ColdListed_ = Day.ListedAgain_ + between(Random, 500ms, 1400ms);
    Day.ColdUntil_ = Day.ListedAgain_ + between(Random, 1500ms, 2900ms);
    Fleet Played(Seed);
    checkDay(Played, Day, Seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()
