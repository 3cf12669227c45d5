#include "entry/entrysettings.h"

#include "settings/settingssource.h"
#include "json/objectreader.h"

#include <gflags/gflags.h>

DEFINE_string(address, "", "IP address of this entry VM.");
DEFINE_string(zone, "", "Availability zone of this entry VM.");
DEFINE_string(region, "", "Region of the availability zone.");
DEFINE_int32(entry_port, 0, "Port for callers' requests.");
DEFINE_int32(relay_port, 0, "Port for requests from other entry VMs.");
DEFINE_int32(thrift_port, 0, "Port for messages from other entry VMs.");
DEFINE_int32(admin_port, 0, "Port for health, metrics and decisions.");
DEFINE_int32(agent_port, 0, "Port of the agents' messages on every VM.");

namespace ebony::entry {

namespace {

constexpr std::int64_t MaxPort = 65'535;
constexpr std::int64_t DefaultMaxConnections = 192;
constexpr std::int64_t ConnectionsLimit = 10'000;
constexpr std::int64_t DefaultMaxWaiting = 64;
constexpr std::int64_t DefaultDecisionHistory = 8'192;
constexpr std::int64_t MaxDecisionHistory = 1'000'000;
constexpr std::int64_t DefaultStopMillis = 30'000;
constexpr std::int64_t DefaultStalenessMillis = 5'000;
constexpr std::int64_t MaxMillis = 3'600'000;

const std::vector<settings::FlagOverride> Overrides{
    {"address", "address"},      {"zone", "zone"},
    {"region", "region"},        {"entry_port", "entryPort"},
    {"relay_port", "relayPort"}, {"thrift_port", "thriftPort"},
    {"admin_port", "adminPort"}, {"agent_port", "agentPort"},
};

} // namespace

base::Checked<EntrySettings> readEntrySettings(const std::string &Path) {
  BOOST_OUTCOME_TRY(Object, settings::loadSettings(Path, Overrides));
  base::Findings Report;
  json::ObjectReader Reader(Path, "$", Object, Report);
  const auto Port = [&](const char *Member) {
    return static_cast<std::uint16_t>(Reader.number(Member, 1, MaxPort));
  };
  EntrySettings Result;
  Result.Address_ = Reader.text("address");
  Result.Zone_ = base::ZoneName(Reader.text("zone"));
  Result.Region_ = base::RegionName(Reader.text("region"));
  Result.EntryPort_ = Port("entryPort");
  Result.RelayPort_ = Port("relayPort");
  Result.ThriftPort_ = Port("thriftPort");
  Result.AdminPort_ = Port("adminPort");
  Result.AgentPort_ = Port("agentPort");
  Result.MaxConnections_ = Reader.numberOr(
      "maxConnections", DefaultMaxConnections, 1, ConnectionsLimit);
  Result.MaxWaitingPerCustomer_ = Reader.numberOr(
      "maxWaitingPerCustomer", DefaultMaxWaiting, 0, ConnectionsLimit);
  Result.DecisionHistory_ = Reader.numberOr(
      "decisionHistory", DefaultDecisionHistory, 1, MaxDecisionHistory);
  Result.StopTimeout_ = std::chrono::milliseconds(Reader.numberOr(
      "stopTimeoutMilliseconds", DefaultStopMillis, 0, MaxMillis));
  Result.KeyStaleness_ = std::chrono::milliseconds(Reader.numberOr(
      "keyStalenessMilliseconds", DefaultStalenessMillis, 1, MaxMillis));
  Reader.rejectUnknown();
  if (!Report.empty())
    return Report;
  return Result;
}

} // namespace ebony::entry
