#include "agent/agentsettings.h"

#include "settings/settingssource.h"
#include "json/objectreader.h"

#include <gflags/gflags.h>

DEFINE_string(address, "", "IP address of this entry VM.");
DEFINE_string(zone, "", "Availability zone of this entry VM.");
DEFINE_string(region, "", "Region of the availability zone.");
DEFINE_int32(operator_port, 0, "Port for operators' requests.");
DEFINE_int32(agent_port, 0,
             "Port for messages between agents, the same on every VM.");
DEFINE_string(platform_host, "", "IP address of the platform's services.");
DEFINE_int32(platform_port, 0, "Port of the platform's services.");

namespace ebony::agent {

namespace {

constexpr std::int64_t MaxPort = 65'535;
constexpr std::int64_t DefaultEntryAdminPort = 8'083;
constexpr std::int64_t DefaultSteerPort = 8'090;
constexpr std::int64_t DefaultPollMillis = 250;
constexpr std::int64_t DefaultStalenessMillis = 5'000;
constexpr std::int64_t MaxMillis = 3'600'000;

const std::vector<settings::FlagOverride> Overrides{
    {"address", "address"},
    {"zone", "zone"},
    {"region", "region"},
    {"operator_port", "operatorPort"},
    {"agent_port", "agentPort"},
    {"platform_host", "platformHost"},
    {"platform_port", "platformPort"},
};

} // namespace

base::Checked<AgentSettings> readAgentSettings(const std::string &Path) {
  BOOST_OUTCOME_TRY(Object, settings::loadSettings(Path, Overrides));
  base::Findings Report;
  json::ObjectReader Reader(Path, "$", Object, Report);
  const auto Port = [&](const char *Member) {
    return static_cast<std::uint16_t>(Reader.number(Member, 1, MaxPort));
  };
  const auto PortOr = [&](const char *Member, std::int64_t Fallback) {
    return static_cast<std::uint16_t>(
        Reader.numberOr(Member, Fallback, 1, MaxPort));
  };
  AgentSettings Result;
  Result.Address_ = Reader.text("address");
  Result.Zone_ = base::ZoneName(Reader.text("zone"));
  Result.Region_ = base::RegionName(Reader.text("region"));
  Result.OperatorPort_ = Port("operatorPort");
  Result.AgentPort_ = Port("agentPort");
  Result.EntryAdminPort_ = PortOr("entryAdminPort", DefaultEntryAdminPort);
  Result.SteerPort_ = PortOr("steerPort", DefaultSteerPort);
  Result.PlatformHost_ = Reader.text("platformHost");
  Result.PlatformPort_ = Port("platformPort");
  Result.OperatorToken_ = Reader.text("operatorToken");
  Result.PollInterval_ = std::chrono::milliseconds(Reader.numberOr(
      "pollIntervalMilliseconds", DefaultPollMillis, 1, MaxMillis));
  Result.KeyStaleness_ = std::chrono::milliseconds(Reader.numberOr(
      "keyStalenessMilliseconds", DefaultStalenessMillis, 1, MaxMillis));
  Reader.rejectUnknown();
  if (!Report.empty())
    return Report;
  return Result;
}

} // namespace ebony::agent
