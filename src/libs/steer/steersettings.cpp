#include "steer/steersettings.h"

#include "settings/settingssource.h"
#include "json/objectreader.h"

#include <gflags/gflags.h>

DEFINE_string(address, "", "IP address of this entry VM.");
DEFINE_string(zone, "", "Availability zone of this entry VM.");
DEFINE_string(region, "", "Region of the availability zone.");
DEFINE_int32(steer_port, 0, "Port for lookups.");
DEFINE_int32(agent_port, 0, "Port of the agents' messages on every VM.");

namespace ebony::steer {

namespace {

constexpr std::int64_t MaxPort = 65'535;
constexpr std::int64_t DefaultEntryPort = 8'080;
constexpr std::int64_t DefaultTtlMillis = 2'000;
constexpr std::int64_t MaxTtlMillis = 60'000;
constexpr std::int64_t DefaultMaxConnections = 128;
constexpr std::int64_t ConnectionsLimit = 10'000;
constexpr std::int64_t DefaultDecisionHistory = 4'096;
constexpr std::int64_t MaxDecisionHistory = 1'000'000;

const std::vector<settings::FlagOverride> Overrides{
    {"address", "address"},      {"zone", "zone"},
    {"region", "region"},        {"steer_port", "steerPort"},
    {"agent_port", "agentPort"},
};

} // namespace

base::Checked<SteerSettings> readSteerSettings(const std::string &Path) {
  BOOST_OUTCOME_TRY(Object, settings::loadSettings(Path, Overrides));
  base::Findings Report;
  json::ObjectReader Reader(Path, "$", Object, Report);
  SteerSettings Result;
  Result.Address_ = Reader.text("address");
  Result.Zone_ = base::ZoneName(Reader.text("zone"));
  Result.Region_ = base::RegionName(Reader.text("region"));
  Result.SteerPort_ =
      static_cast<std::uint16_t>(Reader.number("steerPort", 1, MaxPort));
  Result.AgentPort_ =
      static_cast<std::uint16_t>(Reader.number("agentPort", 1, MaxPort));
  Result.EntryPort_ = static_cast<std::uint16_t>(
      Reader.numberOr("entryPort", DefaultEntryPort, 1, MaxPort));
  Result.TimeToLive_ = std::chrono::milliseconds(Reader.numberOr(
      "timeToLiveMilliseconds", DefaultTtlMillis, 1, MaxTtlMillis));
  Result.MaxConnections_ = Reader.numberOr(
      "maxConnections", DefaultMaxConnections, 1, ConnectionsLimit);
  Result.DecisionHistory_ = Reader.numberOr(
      "decisionHistory", DefaultDecisionHistory, 1, MaxDecisionHistory);
  Reader.rejectUnknown();
  if (!Report.empty())
    return Report;
  return Result;
}

} // namespace ebony::steer
