#ifndef EBONY_TESTS_VM_VIRTUALFLEET_H
#define EBONY_TESTS_VM_VIRTUALFLEET_H

#include "base/manualclock.h"
#include "libs/vm/requestpathfixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace ebony::vm {

using namespace std::chrono_literals;

/// VMs in virtual time, from the rows of the store to the upstreams that are
/// chosen for callers' requests. News of the store reaches a region through the
/// first of its VMs that reaches the store; VMs that can hear each other report
/// to each other.
class VirtualFleet {
public:
  struct Options {
    /// Zones with their region.
    std::vector<std::pair<std::string, std::string>> Zones_;
    int VmsPerZone_ = 2;
    int UpstreamsPerZone_ = 3;
    int RequestsPerSecond_ = 250;
    base::Duration ColdDuration_ = 3s;
    double ColdRate_ = 8;
    double ColdOverrun_ = 1.5;
    double ColdSlack_ = 5;
    std::uint64_t Seed_ = 1;

    double limitPerSecond() const {
      return ColdRate_ * ColdOverrun_ + ColdSlack_;
    }
  };

  explicit VirtualFleet(Options Settings)
      : Settings_(std::move(Settings)), Random_(Settings_.Seed_) {
    Clock_.advance(10s);
    Rows_["operators"] = {{"configuration", "", 1, false}};
    for (const auto &[Zone, Region] : Settings_.Zones_)
      for (int I = 0; I < Settings_.UpstreamsPerZone_; ++I)
        Rows_["upstreams"].push_back(entryOf(Zone, I, 0s, 1));
    for (const auto &[Zone, Region] : Settings_.Zones_)
      for (int I = 0; I < Settings_.VmsPerZone_; ++I)
        addVm(Zone, Region, I);
    Context_.poll();
    std::set<std::string> Names;
    for (const Vm &One : Vms_)
      Names.insert(One.State_->Settings_.Name_);
    for (const Vm &One : Vms_)
      One.State_->Members_.setListed(Names, Clock_.now());
    run(2s);
    Start_ = Clock_.now();
  }

  /// Has \p Action happen at a time of the day.
  void at(base::Duration Time, std::function<void()> Action) {
    Events_.emplace(Time, std::move(Action));
  }

  /// Plays the day until a time, with callers.
  void play(base::Duration End) {
    HasCallers_ = true;
    run(End - time());
  }

  void evacuate(const std::string &Zone) {
    change("operators", {{"evacuate/" + Zone, "", ++Version_, false}});
  }
  void takeBack(const std::string &Zone) {
    change("operators", {{"evacuate/" + Zone, "", ++Version_, true}});
  }
  void removeEntries(const std::string &Zone) { changeZone(Zone, 0s, true, 1); }
  /// Lists the upstreams of a zone, cold for \p Cold by their entries.
  void listEntries(const std::string &Zone, base::Duration Cold,
                   std::int64_t Started = 1) {
    changeZone(Zone, Cold, false, Started);
  }

  /// Cuts a VM from the store.
  void cutFromStore(std::size_t Number) { Vms_[Number].ReachesStore_ = false; }
  /// Cuts VMs from the store and from all but each other.
  void partition(const std::vector<std::size_t> &Numbers) {
    ++LastGroup_;
    for (const std::size_t Number : Numbers) {
      Vms_[Number].Group_ = LastGroup_;
      cutFromStore(Number);
    }
  }
  void mend() {
    for (Vm &One : Vms_) {
      One.Group_ = 0;
      One.ReachesStore_ = true;
    }
  }
  /// The store answers nobody.
  void setStoreDown(bool IsDown) { IsStoreDown_ = IsDown; }

  std::size_t vmCount() const { return Vms_.size(); }
  std::vector<std::size_t> vmsOf(const std::string &Place) const {
    std::vector<std::size_t> Result;
    for (std::size_t I = 0; I < Vms_.size(); ++I)
      if (Vms_[I].State_->Settings_.Zone_.text() == Place ||
          Vms_[I].State_->Settings_.Region_.text() == Place)
        Result.push_back(I);
    return Result;
  }
  VmState &state(std::size_t Number) { return *Vms_[Number].State_; }

  /// Returns the most requests that an upstream of a zone got in a second
  /// between two times.
  int mostPerSecond(const std::string &Zone, base::Duration From,
                    base::Duration To) const {
    std::ptrdiff_t Most = 0;
    for (const auto &[Name, Sent] : Arrivals_) {
      if (!Name.starts_with(Zone))
        continue;
      for (auto First = Sent.begin(); First != Sent.end(); ++First)
        if (*First >= From && *First + 1s <= To)
          Most = std::max(
              Most, std::upper_bound(First, Sent.end(), *First + 1s) - First);
    }
    return static_cast<int>(Most);
  }

  /// Returns how many requests the upstreams of a zone, or of all if it is
  /// empty, got between two times.
  int arrivals(const std::string &Zone, base::Duration From,
               base::Duration To) const {
    std::ptrdiff_t Count = 0;
    for (const auto &[Name, Sent] : Arrivals_)
      if (Name.starts_with(Zone))
        Count += std::lower_bound(Sent.begin(), Sent.end(), To) -
                 std::lower_bound(Sent.begin(), Sent.end(), From);
    return static_cast<int>(Count);
  }

private:
  static constexpr base::Duration Step = 20ms;
  static constexpr base::Duration TickInterval = 100ms;
  static constexpr base::Duration NewsInterval = 900ms;
  static constexpr base::Duration ReportInterval = 300ms;
  static constexpr base::Duration ProcessingTime = 200ms;
  static constexpr double ReportLoss = 0.05;

  struct Vm {
    std::unique_ptr<VmState> State_;
    std::unique_ptr<StateSynchronizer> Synchronizer_;
    bool ReachesStore_ = true;
    int Group_ = 0;
    base::TimePoint NextReport_{};
    base::TimePoint NextNews_{};
    std::map<std::string, std::int64_t> Positions_;
  };
  struct Attempt {
    base::Duration End_{};
    VmState *State_ = nullptr;
    traffic::Placement Placement_;
    std::unique_ptr<traffic::Job> Job_;
  };

  base::Duration time() const { return Clock_.now() - Start_; }

  /// Value of an entry: its cold time in milliseconds and its start.
  static store::Row entryOf(const std::string &Zone, int Number,
                            base::Duration Cold, std::int64_t Version,
                            std::int64_t Started = 1) {
    return {Zone + std::to_string(Number),
            std::to_string(Cold / 1ms) + " " + std::to_string(Started), Version,
            false};
  }

  PlatformBinding makeBinding() {
    PlatformBinding Binding = makeTestBinding(Context_, Rows_);
    const auto Decode = Binding.DecodeConfiguration_;
    const Options &Settings = Settings_;
    Binding.DecodeConfiguration_ = [Decode, Settings](const std::string &Text) {
      auto Rules =
          std::make_shared<traffic::TrafficRules>(*Decode(Text).value());
      Rules->addService(
          {base::ServiceName("s"), Settings.ColdDuration_, Settings.ColdRate_});
      return base::Checked<traffic::TrafficRulesPtr>(std::move(Rules));
    };
    Binding.DecodeUpstream_ = [](const store::Row &Row) {
      std::size_t Length = 0;
      traffic::UpstreamEntry Entry;
      Entry.Name_ = base::UpstreamName(Row.Key_);
      Entry.Service_ = base::ServiceName("s");
      Entry.Address_ = "127.0.0.1";
      Entry.Zone_ = base::ZoneName(Row.Key_.substr(0, Row.Key_.size() - 1));
      Entry.Slots_ = 9;
      Entry.ColdRemaining_ =
          std::chrono::milliseconds(std::stoi(Row.Value_, &Length));
      Entry.StartedUnixMs_ = std::stoi(Row.Value_.substr(Length));
      return std::optional(Entry);
    };
    return Binding;
  }

  void addVm(const std::string &Zone, const std::string &Region, int Number) {
    VmSettings Settings;
    Settings.Name_ = "vm-" + Zone + "-" + std::to_string(Number);
    Settings.Zone_ = base::ZoneName(Zone);
    Settings.Region_ = base::RegionName(Region);
    Settings.Callers_ = {boost::asio::ip::address_v4::loopback(), 1};
    for (const auto &[Name, Place] : Settings_.Zones_)
      Settings.Zones_[base::ZoneName(Name)] = base::RegionName(Place);
    FleetBounds Bounds;
    Bounds.ColdOverrun_ = Settings_.ColdOverrun_;
    Bounds.ColdSlack_ = Settings_.ColdSlack_;
    Vm Made;
    Made.State_ = std::make_unique<VmState>(Context_, Clock_, Settings, Bounds,
                                            makeBinding(), Random_());
    Made.Synchronizer_ = std::make_unique<StateSynchronizer>(*Made.State_);
    Made.Synchronizer_->start();
    Made.NextReport_ = Clock_.now() + between(0s, ReportInterval);
    Made.NextNews_ = Clock_.now() + between(0s, NewsInterval);
    Vms_.push_back(std::move(Made));
  }

  base::Duration between(base::Duration From, base::Duration To) {
    return From +
           base::fromSeconds(base::toSeconds(To - From) * Random_.unit());
  }

  void run(base::Duration Length) {
    for (const base::TimePoint End = Clock_.now() + Length;
         Clock_.now() < End;) {
      while (!Events_.empty() && Events_.begin()->first <= time()) {
        const auto Action = Events_.begin()->second;
        Events_.erase(Events_.begin());
        Action();
      }
      sendNews();
      sendReports();
      if (Clock_.now() >= NextTick_) {
        NextTick_ = Clock_.now() + TickInterval;
        for (const Vm &One : Vms_) {
          One.State_->updateFleetView();
          One.State_->updateIsolation();
        }
      }
      finishAttempts();
      const int Requests =
          static_cast<int>(Settings_.RequestsPerSecond_ * Step / 1s);
      for (int I = 0; HasCallers_ && I < Requests; ++I)
        request();
      Clock_.advance(Step);
    }
  }

  bool hears(const Vm &Receiver, const Vm &Sender) const {
    return Receiver.Group_ == Sender.Group_;
  }

  /// Returns whether news of the store reaches a VM, directly or by way of one
  /// of its region.
  bool getsNews(const Vm &Receiver) const {
    return !IsStoreDown_ &&
           std::any_of(Vms_.begin(), Vms_.end(), [&](const Vm &Reader) {
             return Reader.ReachesStore_ && hears(Receiver, Reader) &&
                    Reader.State_->Settings_.Region_ ==
                        Receiver.State_->Settings_.Region_;
           });
  }

  void sendNews() {
    for (Vm &One : Vms_) {
      if (Clock_.now() < One.NextNews_)
        continue;
      One.NextNews_ = Clock_.now() + NewsInterval;
      if (getsNews(One))
        for (const char *Table : {"operators", "upstreams"})
          deliverNews(One, Table);
    }
  }

  void deliverNews(Vm &Receiver, const std::string &Table) {
    std::int64_t &Position = Receiver.Positions_[Table];
    peers::TableNews News;
    News.Table_ = Table;
    News.After_ = Position;
    for (const store::Row &Row : History_[Table])
      if (Row.Version_ > Position)
        News.Changes_.Rows_.push_back(Row);
    News.Changes_.Version_ = Position = Version_;
    BOOST_TEST(Receiver.State_->News_.deliver(News));
  }

  void sendReports() {
    for (Vm &Sender : Vms_) {
      if (Clock_.now() < Sender.NextReport_)
        continue;
      Sender.NextReport_ = Clock_.now() + ReportInterval;
      const traffic::MemberReport Report = Sender.State_->ownReport();
      for (const Vm &Receiver : Vms_)
        if (&Receiver != &Sender && hears(Receiver, Sender) &&
            Random_.unit() >= ReportLoss)
          Receiver.State_->recordReport(Report);
    }
  }

  /// Changes rows in the store. A change reaches the VMs that get news at once.
  void change(const std::string &Table, const std::vector<store::Row> &Rows) {
    for (const store::Row &Row : Rows)
      History_[Table].push_back(Row);
    for (Vm &One : Vms_)
      if (getsNews(One))
        deliverNews(One, Table);
  }

  void changeZone(const std::string &Zone, base::Duration Cold, bool IsRemoved,
                  std::int64_t Started) {
    std::vector<store::Row> Rows;
    ++Version_;
    for (int I = 0; I < Settings_.UpstreamsPerZone_; ++I) {
      Rows.push_back(entryOf(Zone, I, Cold, Version_, Started));
      Rows.back().IsRemoved_ = IsRemoved;
    }
    change("upstreams", Rows);
  }

  void request() {
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
    Arrivals_[Chosen.Upstream_->Entry_.Name_.text()].push_back(time());
    Attempts_.push_back(
        {time() + ProcessingTime, &State, Chosen, std::move(Request)});
  }

  void finishAttempts() {
    while (!Attempts_.empty() && Attempts_.front().End_ <= time()) {
      const Attempt &Oldest = Attempts_.front();
      Oldest.State_->Dispatcher_.finishAttempt(
          Oldest.Placement_, *Oldest.Job_, traffic::AttemptResult::Answered,
          ProcessingTime, Oldest.State_->now());
      Attempts_.pop_front();
    }
  }

  Options Settings_;
  boost::asio::io_context Context_{1};
  base::ManualClock Clock_;
  base::TimePoint Start_{};
  FakeRows Rows_;
  base::RandomEngine Random_;
  std::vector<Vm> Vms_;
  int LastGroup_ = 0;
  bool IsStoreDown_ = false;
  bool HasCallers_ = false;
  std::multimap<base::Duration, std::function<void()>> Events_;
  base::TimePoint NextTick_{};
  std::int64_t Version_ = 10;
  /// Changes of each table.
  std::map<std::string, std::vector<store::Row>> History_;
  traffic::JobId LastJob_ = 0;
  std::deque<Attempt> Attempts_;
  std::map<std::string, std::vector<base::Duration>> Arrivals_;
};

} // namespace ebony::vm

#endif
