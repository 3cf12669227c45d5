#include "base/randomengine.h"
#include "steering/lookuptable.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <ctime>
#include <iostream>

DEFINE_uint64(blocks, 180000, "Client blocks in the map.");
DEFINE_uint64(sites, 630, "Sites that the blocks belong to.");
DEFINE_uint64(lookups, 5000000, "Look-ups of each kind to time.");
DEFINE_uint64(seed, 1, "Seed of the random blocks and clients.");

using namespace ebony;
using namespace ebony::steering;

namespace {

constexpr unsigned VmsInZone = 34;
constexpr unsigned Zones = 30;
constexpr unsigned Customers = 500;
constexpr unsigned ZonesOfSite = 4;
constexpr unsigned ChangesInDelta = 100;
constexpr unsigned Deltas = 20;
constexpr double Million = 1e6;

/// Returns a random block: one half are IPv4 blocks of /16 to /24, the other
/// half IPv6 blocks of /32 to /48.
ClientBlock randomBlock(base::RandomEngine &Random) {
  const bool IsIPv4 = Random.chance(0.5);
  const auto Length = static_cast<std::uint8_t>(IsIPv4 ? 16 + Random.below(9)
                                                       : 32 + Random.below(17));
  return {.Family_ = IsIPv4 ? Family::IPv4 : Family::IPv6,
          .Key_ = Random() >> (64U - Length) << (64U - Length),
          .Length_ = Length};
}

BlockChange randomChange(base::RandomEngine &Random) {
  return {.Block_ = randomBlock(Random),
          .Site_ = static_cast<SiteNumber>(Random.below(FLAGS_sites))};
}

base::ZoneName zone(std::uint64_t Number) {
  return base::ZoneName("zone-" + std::to_string(Number));
}

membership::FleetView fleet() {
  membership::FleetView Fleet;
  Fleet.OwnZone_.Zone_ = zone(0);
  for (unsigned Index = 0; Index < VmsInZone; ++Index)
    Fleet.OwnZone_.Members_.push_back(
        {.Status_ = {.Vm_ = {base::VmAddress("10.0.0." + std::to_string(Index)),
                             1, zone(0)},
                     .FreeCapacity_ = 100},
         .IsLive_ = true});
  for (unsigned Index = 1; Index < Zones; ++Index) {
    membership::ZoneDigest Digest{
        .Zone_ = zone(Index), .LiveVms_ = VmsInZone, .ServingVms_ = VmsInZone};
    for (int Relay = 1; Relay <= 3; ++Relay)
      Digest.Relays_.emplace_back("10." + std::to_string(Index) + ".0." +
                                  std::to_string(Relay));
    Fleet.OtherZones_.push_back({.Digest_ = Digest, .IsReachable_ = true});
  }
  return Fleet;
}

SteeringPlan plan(base::RandomEngine &Random) {
  SteeringPlan Plan;
  for (std::uint64_t Index = 0; Index < FLAGS_sites; ++Index) {
    SitePlan Site;
    Site.Shares_.push_back({.Zone_ = zone(0), .Weight_ = 100});
    for (unsigned Zone = 1; Zone < ZonesOfSite; ++Zone)
      Site.Shares_.push_back(
          {.Zone_ = zone(1 + Random.below(Zones - 1)), .Weight_ = 10});
    Plan.Sites_.push_back(Site);
  }
  return Plan;
}

std::vector<CustomerLoad> customers() {
  std::vector<CustomerLoad> Loads;
  for (unsigned Index = 0; Index < Customers; ++Index)
    Loads.push_back(
        {.Customer_ = base::CustomerName("customer-" + std::to_string(Index)),
         .Rate_ = 100});
  return Loads;
}

/// Returns the processor time of \p Run in seconds, which depends little on
/// other work on the machine.
template <typename Work> double cpuSeconds(const Work &Run) {
  const std::clock_t Start = std::clock();
  Run();
  return static_cast<double>(std::clock() - Start) / CLOCKS_PER_SEC;
}

void reportDeltas(ClientBlockMap Map, base::RandomEngine &Random) {
  double Longest = 0;
  for (unsigned Index = 0; Index < Deltas; ++Index) {
    std::vector<BlockChange> Changes;
    for (unsigned Change = 0; Change < ChangesInDelta; ++Change)
      Changes.push_back(randomChange(Random));
    Longest = std::max(Longest, cpuSeconds([&] {
                         Map = Map.withChanges(Changes, Index + 2);
                       }));
  }
  std::cout << "longest of " << Deltas << " deltas of " << ChangesInDelta
            << " changes: " << Longest * 1e3 << " ms\n";
}

void reportMapLookups(const ClientBlockMap &Map, base::RandomEngine &Random) {
  std::uint64_t Found = 0;
  const double Seconds = cpuSeconds([&] {
    for (std::uint64_t Index = 0; Index < FLAGS_lookups; ++Index) {
      const std::uint64_t Key = Random();
      Found +=
          Map.find({.Family_ = (Key & 1U) != 0U ? Family::IPv4 : Family::IPv6,
                    .Key_ = Key})
              ? 1
              : 0;
    }
  });
  std::cout << "map: " << static_cast<double>(FLAGS_lookups) / Seconds / Million
            << " million finds/s, " << Found << " found\n";
}

void reportAnswers(const ClientBlockMap &Map, base::RandomEngine &Random) {
  const std::vector<CustomerLoad> Loads = customers();
  const auto Shared = std::make_shared<const ClientBlockMap>(Map);
  const SteeringPlan Plan = plan(Random);
  const membership::FleetView Fleet = fleet();
  const double Build = cpuSeconds(
      [&] { LookupTable(Shared, Plan, Fleet, Loads, LookupSettings()); });
  const LookupTable Table(Shared, Plan, Fleet, Loads, LookupSettings());
  std::uint64_t Vms = 0;
  const double Seconds = cpuSeconds([&] {
    for (std::uint64_t Index = 0; Index < FLAGS_lookups; ++Index) {
      const std::uint64_t Key = Random();
      Vms += Table
                 .answer({.Client_ = {.Family_ = Family::IPv4, .Key_ = Key},
                          .Customer_ = Loads[Key % Customers].Customer_})
                 .EntryVms_.size();
    }
  });
  std::cout << "answers: "
            << static_cast<double>(FLAGS_lookups) / Seconds / Million
            << " million/s, " << Vms << " entry VMs named; table built in "
            << Build * 1e3 << " ms\n";
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  base::RandomEngine Random(FLAGS_seed);
  std::vector<BlockChange> Blocks;
  Blocks.reserve(FLAGS_blocks);
  for (std::uint64_t Index = 0; Index < FLAGS_blocks; ++Index)
    Blocks.push_back(randomChange(Random));
  ClientBlockMap Map;
  const double Build =
      cpuSeconds([&] { Map = ClientBlockMap().withChanges(Blocks, 1); });
  std::cout << Map.size() << " blocks, " << FLAGS_sites
            << " sites: " << static_cast<double>(Map.memoryBytes()) / Million
            << " MB, built in " << Build * 1e3 << " ms\n";
  reportDeltas(Map, Random);
  reportMapLookups(Map, Random);
  reportAnswers(Map, Random);
  return 0;
}
