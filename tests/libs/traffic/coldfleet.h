#ifndef EBONY_TESTS_TRAFFIC_COLDFLEET_H
#define EBONY_TESTS_TRAFFIC_COLDFLEET_H

#include "base/randomengine.h"
#include "libs/traffic/fixtures.h"
#include "traffic/coldupstreamlimiter.h"
#include "traffic/membertable.h"

#include <queue>

namespace ebony::traffic::fixtures {

/// VMs in virtual time whose callers all need the same cold upstream. Reports
/// are delayed, lost at random, and lost altogether while a VM's link is full.
/// VMs restart and end.
class ColdFleet {
public:
  struct Options {
    int Vms_ = 78;
    double LimitPerSecond_ = 5.7 * 1.5 + 8;
    base::Duration Length_ = 15s;
    std::uint64_t Seed_ = 1;
  };

  explicit ColdFleet(Options Settings)
      : Settings_(Settings), Random_(Settings.Seed_) {
    for (int I = 0; I < Settings_.Vms_; ++I)
      Vms_.push_back(makeVm(I, at(0s)));
  }

  /// All datagrams from and to the VM are lost between two times.
  void loseDatagrams(int Number, base::Duration From, base::Duration To) {
    Losses_[Number].push_back({at(From), at(To)});
  }

  /// The VM's process ends and is back after \p Downtime, if it is given.
  void restart(int Number, base::Duration Time,
               std::optional<base::Duration> Downtime) {
    schedule(at(Time), [=, this](base::TimePoint) { Vms_[Number].reset(); });
    if (Downtime)
      schedule(at(Time + *Downtime), [=, this](base::TimePoint Now) {
        Vms_[Number] = makeVm(Number, Now);
      });
  }

  void run() {
    for (base::Duration Time{}; Time < Settings_.Length_; Time += Step) {
      const base::TimePoint Now = at(Time);
      while (!Events_.empty() && Events_.top().Time_ <= Now) {
        const auto Action = Events_.top().Action_;
        Events_.pop();
        Action(Now);
      }
      for (const auto &Vm : Vms_)
        if (Vm)
          step(*Vm, Now);
    }
  }

  /// Returns the largest number of requests that the upstream got in a second
  /// that begins between two times.
  int mostPerSecond(base::Duration From, base::Duration To) const {
    std::size_t Most = 0;
    for (std::size_t First = 0, End = 0; First < Arrivals_.size(); ++First) {
      while (End < Arrivals_.size() && Arrivals_[End] < Arrivals_[First] + 1s)
        ++End;
      if (Arrivals_[First] >= at(From) && Arrivals_[First] < at(To))
        Most = std::max(Most, End - First);
    }
    return static_cast<int>(Most);
  }

  int arrivals(base::Duration From, base::Duration To) const {
    return static_cast<int>(std::count_if(
        Arrivals_.begin(), Arrivals_.end(), [=](base::TimePoint Time) {
          return Time >= at(From) && Time < at(To);
        }));
  }

private:
  static constexpr base::Duration Step = 10ms;
  static constexpr base::Duration TickInterval = 250ms;

  struct Vm {
    explicit Vm(const std::string &Name)
        : Name_(Name), Members_(Name, 2500ms), Limiter_(Name, 0.8) {}

    std::string Name_;
    MemberTable Members_;
    ColdUpstreamLimiter Limiter_;
    UpstreamState Upstream_;
    base::TimePoint NextTick_{};
  };
  struct Event {
    base::TimePoint Time_;
    std::uint64_t Number_;
    std::function<void(base::TimePoint)> Action_;

    bool operator<(const Event &Other) const {
      return std::tie(Time_, Number_) > std::tie(Other.Time_, Other.Number_);
    }
  };

  void schedule(base::TimePoint Time,
                std::function<void(base::TimePoint)> Action) {
    Events_.push({Time, ++EventCount_, std::move(Action)});
  }

  static std::string nameOf(int Number) {
    return "vm" + std::to_string(Number);
  }

  std::shared_ptr<Vm> makeVm(int Number, base::TimePoint Now) {
    auto Made = std::make_shared<Vm>(nameOf(Number));
    std::set<std::string> Listed;
    for (int I = 0; I < Settings_.Vms_; ++I)
      Listed.insert(nameOf(I));
    Made->Members_.setListed(Listed, Now);
    Made->Upstream_.NameHash_ = Settings_.Seed_ * 7919;
    Made->Upstream_.ColdUntil_ = at(Settings_.Length_);
    Made->NextTick_ = Now + seconds(Random_.unit() * 0.25);
    schedule(Now + seconds(Random_.unit() * 0.4),
             [=, this](base::TimePoint Time) { report(Number, Made, Time); });
    return Made;
  }

  bool losesDatagrams(int Number, base::TimePoint Now) const {
    const auto Entry = Losses_.find(Number);
    return Entry != Losses_.end() &&
           std::any_of(Entry->second.begin(), Entry->second.end(),
                       [Now](const auto &Loss) {
                         return Now >= Loss.first && Now < Loss.second;
                       });
  }

  void report(int Number, const std::shared_ptr<Vm> &Sender,
              base::TimePoint Now) {
    if (Vms_[Number] != Sender)
      return;
    const MemberReport Report = fixtures::report(Sender->Name_);
    for (int I = 0; I < Settings_.Vms_; ++I) {
      if (I == Number || losesDatagrams(Number, Now) ||
          losesDatagrams(I, Now) || Random_.unit() < 0.02)
        continue;
      schedule(Now + seconds(Random_.unit() * 0.04),
               [=, this](base::TimePoint Time) {
                 if (Vms_[I])
                   Vms_[I]->Members_.recordReport(Report, Time);
               });
    }
    schedule(Now + 430ms,
             [=, this](base::TimePoint Time) { report(Number, Sender, Time); });
  }

  void step(Vm &Sender, base::TimePoint Now) {
    if (Now >= Sender.NextTick_) {
      Sender.NextTick_ = Now + TickInterval;
      Sender.Limiter_.setOtherVms(Sender.Members_.sharingNames(Now), Now);
    }
    if (!Sender.Limiter_.allows(Sender.Upstream_, Settings_.LimitPerSecond_,
                                Now))
      return;
    Sender.Limiter_.recordSend(Sender.Upstream_, Now);
    Arrivals_.push_back(Now);
  }

  static base::Duration seconds(double Count) {
    return base::fromSeconds(Count);
  }

  Options Settings_;
  base::RandomEngine Random_;
  std::vector<std::shared_ptr<Vm>> Vms_;
  std::map<int, std::vector<std::pair<base::TimePoint, base::TimePoint>>>
      Losses_;
  std::priority_queue<Event> Events_;
  std::uint64_t EventCount_ = 0;
  std::vector<base::TimePoint> Arrivals_;
};

} // namespace ebony::traffic::fixtures

#endif
