#include "benches.h"
#include "libs/idempotency/fleetfake.h"

#include <array>
#include <cstdio>
#include <vector>

namespace ebony::benchonce {

namespace {

using tests::CallerFake;
using tests::Faults;
using tests::FleetFake;
using tests::Tally;

struct FaultCase {
  const char *Name_;
  Faults Faults_;
};

constexpr std::array<const char *, CallerFake::KindCount> KindNames = {
    "session, marked", "session, unmarked", "own key, marked",
    "own key, unmarked", "no key, no resend"};

void printOutcomes(const FaultCase &Case, int Schedules) {
  std::vector<Tally> Totals(CallerFake::KindCount);
  for (int Seed = 1; Seed <= Schedules; ++Seed) {
    FleetFake Fleet(static_cast<std::uint64_t>(Seed), Case.Faults_);
    Fleet.run();
    for (std::size_t Kind = 0; Kind < Totals.size(); ++Kind)
      Totals[Kind] += Fleet.byKind()[Kind];
  }
  for (std::size_t Kind = 0; Kind < Totals.size(); ++Kind) {
    const double Share = 100.0 / Totals[Kind].Operations_;
    std::printf("%s | %s | %.2f | %.2f | %.2f | %d\n", Case.Name_,
                KindNames[Kind], Share * Totals[Kind].Complete_,
                Share * Totals[Kind].NotRun_, Share * Totals[Kind].Unknown_,
                Totals[Kind].RunTwice_);
  }
}

} // namespace

void benchUnknown(int Schedules) {
  const std::array<FaultCase, 7> Cases = {
      {{"no fault", {0, 0, 0, 0, false, false}},
       {"upstream 5%", {0.05, 0, 0, 0, false, false}},
       {"network 5%", {0, 0.05, 0, 0, false, false}},
       {"table 20%", {0, 0, 0.2, 0, false, false}},
       {"table 100%", {0, 0, 1, 0, false, false}},
       {"planned stop", {0, 0, 0, 0, true, false}},
       {"stops and crashes", {0, 0, 0, 0.6, false, false}}}};
  std::puts("faults | way | complete % | not run % | unknown % | ran twice");
  for (const FaultCase &Case : Cases)
    printOutcomes(Case, Schedules);
}

} // namespace ebony::benchonce
