#include "load/deployment.h"

namespace ebony::load {

namespace {

constexpr int SmallBody = 1 << 20;
constexpr int LargeBody = 1 << 23;

Deployment confirmacor() {
  Deployment Result;
  Result.Name_ = "confirmacor";
  Result.Regions_ = {{"lisbon", {"lisbon-a", "lisbon-b"}},
                     {"madrid", {"madrid-a", "madrid-b"}},
                     {"dublin", {"dublin-a", "dublin-b"}}};
  Result.Services_ = {{"status", 16, 9, 8, 2000, SmallBody},
                      {"affirmations", 12, 5, 15, 4000, SmallBody},
                      {"documents", 12, 3, 30, 10000, LargeBody},
                      {"archive", 12, 7, 20, 4000, SmallBody}};
  Result.Customers_ = {{"atlas", 60, 120},   {"boreal", 40, 80},
                       {"cedar", 30, 60},    {"delta", 25, 50},
                       {"ember", 20, 40},    {"fjord", 20, 40},
                       {"goliath", 80, 160}, {"hydra", 60, 120}};
  Result.ZoneOneWayMilliseconds_ = 0.5;
  Result.RegionOneWayMilliseconds_ = 20;
  Result.ClientOneWayMilliseconds_ = 3;
  return Result;
}

Deployment loanOffice() {
  Deployment Result;
  Result.Name_ = "loan-office";
  Result.Regions_ = {{"porto", {"porto-a", "porto-b"}},
                     {"serra", {"serra-a", "serra-b"}},
                     {"oeste", {"oeste-a", "oeste-b"}}};
  Result.Services_ = {{"lookup", 16, 9, 8, 2000, SmallBody},
                      {"booking", 12, 6, 15, 4000, SmallBody},
                      {"documents", 12, 3, 30, 10000, LargeBody},
                      {"stock", 12, 8, 40, 10000, SmallBody}};
  Result.Customers_ = {{"alegrete", 30, 60},      {"bage", 30, 60},
                       {"canela", 20, 40},        {"dom-pedrito", 20, 40},
                       {"erechim", 20, 40},       {"farroupilha", 20, 40},
                       {"porto-alegre", 90, 180}, {"stock-reports", 60, 120}};
  Result.ZoneOneWayMilliseconds_ = 1;
  Result.RegionOneWayMilliseconds_ = 35;
  Result.ClientOneWayMilliseconds_ = 8;
  return Result;
}

} // namespace

base::Checked<Deployment> findDeployment(const std::string &Name) {
  for (Deployment Candidate : {confirmacor(), loanOffice()}) {
    if (Candidate.Name_ != Name)
      continue;
    Candidate.ProbeMilliseconds_ = 6;
    Candidate.ConnectionMilliseconds_ = 1;
    Candidate.VmsPerZone_ = 2;
    Candidate.ConnectionsPerTarget_ = 400;
    Candidate.MegabitsPerSecond_ = 4000;
    return Candidate;
  }
  return base::Findings{
      {"--deployment", "", "Give confirmacor or loan-office."}};
}

} // namespace ebony::load
