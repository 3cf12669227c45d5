#include "benchmembership/virtualfleet.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <ctime>
#include <iostream>

DEFINE_uint64(zones, 6, "Zones of the fleet.");
DEFINE_uint64(vms, 2, "VMs in each zone.");
DEFINE_uint64(seconds, 120, "Virtual seconds of the steady phase.");
DEFINE_uint64(crashes, 10, "VMs to crash one after another; 0: none.");
DEFINE_double(loss, 0, "Share of messages lost, each way.");
DEFINE_double(pauses, 0, "Pauses of a VM in a minute.");
DEFINE_double(pause_seconds, 1, "Longest pause in seconds.");
DEFINE_uint64(seed, 1, "Seed of the fleet.");

using namespace ebony;
using namespace ebony::benchmembership;
using namespace ebony::membership;

namespace {

constexpr base::Duration SettlingTime = std::chrono::seconds(30);
constexpr base::Duration ObservationInterval = std::chrono::milliseconds(500);
constexpr double SecondsPerHour = 3600;

bool showsLive(VirtualFleet &Fleet, const base::VmAddress &Viewer,
               const base::VmAddress &Vm) {
  const ZoneView View = Fleet.vm(Viewer).zone();
  const ZoneMember *Found = View.find(Vm);
  return Found && Found->IsLive_;
}

/// Counts how often a viewer starts to show a live VM of its zone as dead.
class SuspicionCounter {
public:
  explicit SuspicionCounter(VirtualFleet &Fleet) : Fleet_(Fleet) {}

  void observe() {
    for (const base::VmAddress &Viewer : Fleet_.addresses()) {
      const ZoneView View = Fleet_.vm(Viewer).zone();
      for (const ZoneMember &Member : View.Members_) {
        const auto Pair = std::make_pair(Viewer, Member.Status_.Vm_.address());
        if (Member.IsLive_)
          Open_.erase(Pair);
        else if (Open_.insert(Pair).second)
          ++Count_;
      }
    }
  }

  std::uint64_t count() const { return Count_; }

private:
  VirtualFleet &Fleet_;
  std::set<std::pair<base::VmAddress, base::VmAddress>> Open_;
  std::uint64_t Count_ = 0;
};

void reportSteady(VirtualFleet &Fleet) {
  SuspicionCounter Counter(Fleet);
  const base::Duration Span = std::chrono::seconds(FLAGS_seconds);
  const std::map<base::VmAddress, std::uint64_t> Before = Fleet.bytesOf();
  const std::uint64_t Messages = Fleet.messages();
  double CpuSeconds = 0;
  for (base::Duration Elapsed{0}; Elapsed < Span;
       Elapsed += ObservationInterval) {
    const std::clock_t Start = std::clock();
    Fleet.run(ObservationInterval);
    CpuSeconds += static_cast<double>(std::clock() - Start) / CLOCKS_PER_SEC;
    Counter.observe();
  }
  const double Seconds = base::toSeconds(Span);
  std::vector<double> Rates;
  for (const auto &[Vm, Bytes] : Fleet.bytesOf())
    Rates.push_back(static_cast<double>(Bytes - Before.at(Vm)) / Seconds);
  std::sort(Rates.begin(), Rates.end());
  double Sum = 0;
  for (const double Rate : Rates)
    Sum += Rate;
  const auto Vms = static_cast<double>(Rates.size());
  const double PairHours =
      Vms * static_cast<double>(FLAGS_vms - 1) * Seconds / SecondsPerHour;
  std::cout << "bytes/s of a VM, in and out: mean " << Sum / Vms << ", median "
            << Rates[Rates.size() / 2] << ", largest " << Rates.back()
            << "\nmessages/s of a VM: "
            << static_cast<double>(Fleet.messages() - Messages) / Seconds / Vms
            << "\nprocessor share of a VM: " << CpuSeconds / Seconds / Vms * 100
            << " % of a core, simulation included\nfalse suspicions: "
            << Counter.count() << " in " << PairHours << " hours of a pair\n";
}

/// Crashes \p Vm and returns the seconds until no VM of its zone shows it as
/// live.
double measureDetectionTime(VirtualFleet &Fleet, const base::VmAddress &Vm) {
  const base::TimePoint Start = Fleet.now();
  Fleet.crash(Vm);
  bool IsShown = true;
  while (IsShown) {
    Fleet.run(std::chrono::milliseconds(50));
    IsShown = false;
    for (const base::VmAddress &Viewer : Fleet.addresses())
      IsShown = IsShown ||
                (Viewer != Vm &&
                 VirtualFleet::zoneOf(Viewer) == VirtualFleet::zoneOf(Vm) &&
                 showsLive(Fleet, Viewer, Vm));
  }
  const double Seconds = base::toSeconds(Fleet.now() - Start);
  Fleet.start(Vm);
  Fleet.run(SettlingTime);
  return Seconds;
}

void reportDetection(VirtualFleet &Fleet) {
  base::RandomEngine Random(FLAGS_seed);
  const std::vector<base::VmAddress> Addresses = Fleet.addresses();
  std::vector<double> Times;
  for (std::uint64_t Index = 0; Index < FLAGS_crashes; ++Index)
    Times.push_back(
        measureDetectionTime(Fleet, Addresses[Random.below(Addresses.size())]));
  if (Times.empty())
    return;
  std::sort(Times.begin(), Times.end());
  std::cout << "crash known to the whole zone: median "
            << Times[Times.size() / 2] << " s, longest " << Times.back()
            << " s of " << Times.size() << "\n";
}

void reportDigests(VirtualFleet &Fleet) {
  base::Duration Oldest{0};
  unsigned Unreachable = 0;
  for (const base::VmAddress &Vm : Fleet.addresses()) {
    const FleetView View = Fleet.vm(Vm).fleet();
    const bool IsRelay = Fleet.vm(Vm).tree().isRelay(Vm);
    for (const DigestEntry &Entry : View.OtherZones_) {
      Unreachable += Entry.IsReachable_ ? 0 : 1;
      if (IsRelay)
        Oldest = std::max(Oldest, Entry.Age_);
    }
    Unreachable +=
        static_cast<unsigned>(FLAGS_zones - 1 - View.OtherZones_.size());
  }
  std::cout << "oldest digest at a relay: " << base::toSeconds(Oldest)
            << " s; zones shown as unreachable: " << Unreachable << "\n";
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  VirtualFleet Fleet({.Zones_ = FLAGS_zones,
                      .VmsPerZone_ = FLAGS_vms,
                      .LossEachWay_ = FLAGS_loss,
                      .PausesPerMinute_ = FLAGS_pauses,
                      .LongestPause_ = base::fromSeconds(FLAGS_pause_seconds)},
                     MembershipSettings(), FLAGS_seed);
  Fleet.run(SettlingTime);
  std::cout << FLAGS_zones * FLAGS_vms << " VMs in " << FLAGS_zones
            << " zones, loss " << FLAGS_loss << ", pauses a minute "
            << FLAGS_pauses << "\n";
  reportSteady(Fleet);
  reportDigests(Fleet);
  reportDetection(Fleet);
  return 0;
}
