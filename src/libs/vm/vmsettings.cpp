#include "vm/vmsettings.h"

#include "settings/settingssource.h"
#include "json/objectreader.h"

#include <Poco/JSON/Array.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>

namespace ebony::vm {

namespace {

using boost::asio::ip::tcp;

constexpr std::int64_t MaxPort = 65'535;
constexpr std::int64_t DefaultPipelinedRequests = 8;
constexpr std::int64_t MaxPipelinedRequests = 1024;
constexpr double MinCoreShare = 0.001;
constexpr double MaxCoreShare = 1024;

// Least memory and descriptors with which the process works: an upload of a
// usual size, and connections to the store, upstreams and some callers.
constexpr std::int64_t MinMemoryMb = 16;
constexpr std::int64_t MaxMemoryMb = 1 << 20;
constexpr std::int64_t MinFileDescriptors = 256;
constexpr std::int64_t MaxFileDescriptors = 1 << 20;
constexpr std::size_t BytesPerMb = 1UL << 20;

std::int64_t physicalMemoryMb() {
  const std::int64_t Bytes = sysconf(_SC_PHYS_PAGES) * sysconf(_SC_PAGESIZE);
  return std::clamp(Bytes / static_cast<std::int64_t>(BytesPerMb), MinMemoryMb,
                    MaxMemoryMb);
}

std::int64_t descriptorLimit() {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0 ||
      Limit.rlim_cur >= static_cast<rlim_t>(MaxFileDescriptors))
    return MaxFileDescriptors;
  return std::max(static_cast<std::int64_t>(Limit.rlim_cur),
                  MinFileDescriptors);
}

/// Reads the limits of the machine. Those that are not stated are the system's.
void readMachine(const std::string &Path, const Poco::JSON::Object::Ptr &Object,
                 base::Findings &Report, VmSettings &Result) {
  Poco::JSON::Object::Ptr Machine = Object->getObject("machine");
  if (!Machine)
    Machine = new Poco::JSON::Object;
  json::ObjectReader Reader(Path, "$.machine", Machine, Report);
  Result.MemoryBytes_ =
      static_cast<std::size_t>(Reader.numberOr("memoryMb", physicalMemoryMb(),
                                               MinMemoryMb, MaxMemoryMb)) *
      BytesPerMb;
  Result.FileDescriptors_ = static_cast<std::size_t>(
      Reader.numberOr("fileDescriptors", descriptorLimit(), MinFileDescriptors,
                      MaxFileDescriptors));
}

tcp::endpoint readEndpoint(json::ObjectReader &Reader, const char *Member) {
  const std::string Text = Reader.text(Member);
  const std::size_t Colon = Text.rfind(':');
  boost::system::error_code Error;
  const auto Address =
      boost::asio::ip::make_address(Text.substr(0, Colon), Error);
  const int Port =
      Colon == std::string::npos ? 0 : std::atoi(Text.c_str() + Colon + 1);
  if (Error || Port <= 0 || Port > MaxPort) {
    Reader.report(Member, "Write an IP number and a port, as in 10.0.0.1:80.");
    return {};
  }
  return {Address, static_cast<std::uint16_t>(Port)};
}

} // namespace

base::Checked<VmSettings> readVmSettings(const std::string &Path) {
  BOOST_OUTCOME_TRY(Object, settings::loadSettings(Path, {}));
  base::Findings Report;
  json::ObjectReader Reader(Path, "$", Object, Report);
  VmSettings Result;
  Result.Name_ = Reader.text("name");
  Result.Zone_ = base::ZoneName(Reader.text("zone"));
  Result.Region_ = base::RegionName(Reader.text("region"));
  Result.Callers_ = readEndpoint(Reader, "callers");
  Result.Readiness_ = readEndpoint(Reader, "readiness");
  Result.Directory_ = readEndpoint(Reader, "directory");
  Result.Metrics_ = readEndpoint(Reader, "metrics");
  Result.Store_ = readEndpoint(Reader, "store");
  Result.PeerPort_ =
      static_cast<std::uint16_t>(Reader.number("peerPort", 1, MaxPort));
  Result.CoreShare_ = Reader.realOr("coreShare", 1, MinCoreShare, MaxCoreShare);
  Result.MaxPipelinedRequests_ = static_cast<std::size_t>(
      Reader.numberOr("maxPipelinedRequests", DefaultPipelinedRequests, 1,
                      MaxPipelinedRequests));
  readMachine(Path, Object, Report, Result);
  const Poco::JSON::Object::Ptr Zones = Object->getObject("zones");
  if (!Zones)
    Reader.report("zones", "Add an object that gives each zone its region.");
  else
    for (const auto &[Zone, Region] : *Zones)
      Result.Zones_[base::ZoneName(Zone)] =
          base::RegionName(Region.convert<std::string>());
  const Poco::JSON::Array::Ptr Bounds = Object->getArray("bounds");
  for (unsigned I = 0; Bounds && I < Bounds->size(); ++I)
    Result.Bounds_.push_back(Bounds->getElement<std::string>(I));
  if (!Report.empty())
    return Report;
  return Result;
}

} // namespace ebony::vm
