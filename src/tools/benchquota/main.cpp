#include "benchquota/escrowscheme.h"
#include "benchquota/gossipscheme.h"
#include "benchquota/reportingscheme.h"
#include "benchquota/trial.h"

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_int32(trials, 3, "Seeds to run each case with.");
DEFINE_string(scheme, "", "Run only the scheme of this name.");
DEFINE_int32(seconds, 60, "Length of a trial after its warm-up.");
DEFINE_int32(floor_percent, 5,
             "Percentage of a zone's share that never leaves it.");
DEFINE_double(load, 0.8, "Mean demand as a fraction of a customer's rate.");
DEFINE_bool(customers, false, "Print the refusals of each customer as well.");
DEFINE_bool(wait, true, "Let requests wait for quota that has been requested.");

using namespace ebony;
using namespace ebony::benchquota;

namespace {

struct NamedScheme {
  const char *Name_;
  Trial::SchemeFactory Make_;
};

struct NamedPlacement {
  const char *Name_;
  Placement Placement_;
};

Trial::SchemeFactory escrow() {
  return [](Network &Net, const quota::QuotaLimits &Limits, std::uint64_t) {
    quota::ExchangePolicy Policy;
    if (!FLAGS_wait)
      Policy.MaxWait_ = base::Duration(0);
    return std::make_unique<EscrowScheme>(Net, Limits, Policy,
                                          FLAGS_floor_percent);
  };
}

Trial::SchemeFactory reporting(std::optional<base::Duration> Interval) {
  return [=](Network &Net, const quota::QuotaLimits &Limits, std::uint64_t) {
    return std::make_unique<ReportingScheme>(Net, Limits, Interval);
  };
}

Trial::SchemeFactory gossip(base::Duration Interval) {
  return
      [=](Network &Net, const quota::QuotaLimits &Limits, std::uint64_t Seed) {
        return std::make_unique<GossipScheme>(Net, Limits, Interval, Seed);
      };
}

double percent(std::int64_t Count, std::int64_t Total) {
  return Total == 0 ? 0 : 100.0 * double(Count) / double(Total);
}

void runCase(const NamedScheme &Scheme, const NamedPlacement &Placement,
             WorkloadSettings Settings) {
  Settings.Placement_ = Placement.Placement_;
  Settings.Load_ = FLAGS_load;
  Settings.Length_ = std::chrono::seconds(FLAGS_seconds);
  TrialResult Sum;
  for (int Seed = 1; Seed <= FLAGS_trials; ++Seed) {
    const TrialResult Result =
        Trial(Settings, Scheme.Make_, std::uint64_t(Seed)).run();
    for (const CustomerCount &Count : Result.Customers_)
      if (FLAGS_customers)
        std::printf("  %.0f/s: %.3f%%\n", Count.Rate_,
                    percent(Count.Refused_, Count.Offered_));
    Sum.Offered_ += Result.Offered_;
    Sum.Refused_ += Result.Refused_;
    Sum.CutOffered_ += Result.CutOffered_;
    Sum.CutRefused_ += Result.CutRefused_;
    Sum.CutFloor_ += Result.CutFloor_;
    Sum.Waited_ += Result.Waited_;
    Sum.LongestWaitMs_ = std::max(Sum.LongestWaitMs_, Result.LongestWaitMs_);
    Sum.Excess_ = std::max(Sum.Excess_, Result.Excess_);
    Sum.MessagesPerSecondAndVm_ +=
        Result.MessagesPerSecondAndVm_ / FLAGS_trials;
    Sum.BytesPerSecondAndVm_ += Result.BytesPerSecondAndVm_ / FLAGS_trials;
  }
  std::printf(
      "%-14s %-9s %-5s %-4s %9.3f %9.2f %7.1f %7.0f %8.2f %6.0f", Scheme.Name_,
      Placement.Name_, Settings.HasHeavyNeighbour_ ? "yes" : "no",
      Settings.CutsZone_ ? "yes" : "no", percent(Sum.Refused_, Sum.Offered_),
      100 * Sum.Excess_, Sum.MessagesPerSecondAndVm_, Sum.BytesPerSecondAndVm_,
      percent(Sum.Waited_, Sum.Offered_), Sum.LongestWaitMs_);
  if (Settings.CutsZone_)
    std::printf("  cut: %lld of %lld served, floor %.0f",
                static_cast<long long>(Sum.CutOffered_ - Sum.CutRefused_),
                static_cast<long long>(Sum.CutOffered_), Sum.CutFloor_);
  std::printf("\n");
  std::fflush(stdout);
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage(
      "Measures wrongful refusals, over-admission and "
      "messages of schemes that enforce fleet-wide quotas.");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  const NamedScheme Schemes[] = {
      {"escrow", escrow()},
      {"static", reporting(std::nullopt)},
      {"central-500ms", reporting(std::chrono::milliseconds(500))},
      {"gossip-2s", gossip(std::chrono::seconds(2))},
      {"gossip-200ms", gossip(std::chrono::milliseconds(200))},
  };
  const NamedPlacement Placements[] = {{"one", Placement::OneVm},
                                       {"all", Placement::AllVms},
                                       {"wander", Placement::Wandering}};
  std::printf("%-14s %-9s %-5s %-4s %9s %9s %7s %7s %8s %6s\n", "scheme",
              "callers", "heavy", "cut", "refused%", "excess%", "msg/s",
              "bytes/s", "waited%", "max ms");
  for (const NamedScheme &Scheme : Schemes)
    for (const NamedPlacement &Placement : Placements)
      for (const bool HasHeavyNeighbour : {false, true})
        for (const bool CutsZone : {false, true}) {
          if (!FLAGS_scheme.empty() && FLAGS_scheme != Scheme.Name_)
            continue;
          WorkloadSettings Settings;
          Settings.HasHeavyNeighbour_ = HasHeavyNeighbour;
          Settings.CutsZone_ = CutsZone;
          runCase(Scheme, Placement, Settings);
        }
  return 0;
}
