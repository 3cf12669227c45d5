#include "records/recordparser.h"

#include "json/jsontext.h"
#include "json/objectreader.h"

#include <Poco/JSON/Array.h>

#include <array>
#include <charconv>
#include <limits>
#include <optional>

namespace ebony::records {

namespace {

using json::ObjectReader;

constexpr double MaxRequestsPerSecond = 1e9;
constexpr std::int64_t MaxLatencyMillis = 60'000;
constexpr std::int64_t MaxMegabitsPerSecond = 10'000'000;
constexpr std::int64_t MaxTimeoutMillis = 3'600'000;
constexpr std::int64_t MaxBodyBytes = std::int64_t{1} << 40;
constexpr std::int64_t MaxPort = 65'535;
constexpr std::int64_t MaxSlots = 1'000'000;
constexpr std::int64_t DefaultConnections = 400;
constexpr std::int64_t MaxWeight = 1'000;
constexpr std::int64_t FullPermille = 1'000;
constexpr std::size_t MaxNameLength = 128;

base::Duration millis(std::int64_t Count) {
  return std::chrono::milliseconds(Count);
}

bool isValidName(const std::string &Text) {
  if (Text.empty() || Text.size() > MaxNameLength)
    return false;
  return Text.find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                                "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") ==
         std::string::npos;
}

std::string readName(ObjectReader &Reader, const std::string &Member) {
  std::string Text = Reader.text(Member);
  if (!Text.empty() && !isValidName(Text))
    Reader.report(Member, "Write a name of at most 128 letters, digits, '-', "
                          "'_' and '.'.");
  return Text;
}

RecordBody readRegion(ObjectReader &, const std::string &Name) {
  return RegionRecord{base::RegionName(Name)};
}

RecordBody readZone(ObjectReader &Reader, const std::string &Name) {
  return ZoneRecord{base::ZoneName(Name),
                    base::RegionName(readName(Reader, "region"))};
}

RecordBody readLink(ObjectReader &Reader, const std::string &Name) {
  return LinkRecord{
      Name, base::RegionName(readName(Reader, "from")),
      base::RegionName(readName(Reader, "to")),
      Reader.number("megabitsPerSecond", 1, MaxMegabitsPerSecond),
      millis(Reader.number("oneWayMilliseconds", 0, MaxLatencyMillis))};
}

RecordBody readService(ObjectReader &Reader, const std::string &Name) {
  return ServiceRecord{
      base::ServiceName(Name),
      millis(Reader.number("timeoutMilliseconds", 1, MaxTimeoutMillis)),
      Reader.number("maxBodyBytes", 0, MaxBodyBytes)};
}

RecordBody readRoute(ObjectReader &Reader, const std::string &Name) {
  const std::string Service = readName(Reader, "service");
  const std::string Prefix = Reader.textOr("pathPrefix", "/");
  if (Prefix.front() != '/')
    Reader.report("pathPrefix", "Begin the path prefix with '/'.");
  const std::string Access = Reader.textOr("access", "keyed");
  if (Access != "keyed" && Access != "open")
    Reader.report("access", "Write \"keyed\" or \"open\".");
  return RouteRecord{Name, base::ServiceName(Service), Prefix,
                     Access == "open" ? RouteAccess::Open : RouteAccess::Keyed};
}

UpstreamRecord readUpstreamCommon(ObjectReader &Reader,
                                  const std::string &Name) {
  UpstreamRecord Upstream;
  Upstream.Name_ = base::UpstreamName(Name);
  Upstream.Service_ = base::ServiceName(readName(Reader, "service"));
  Upstream.Zone_ = base::ZoneName(readName(Reader, "zone"));
  Upstream.Slots_ = Reader.number("slots", 1, MaxSlots);
  Upstream.Connections_ = DefaultConnections;
  return Upstream;
}

RecordBody readUpstreamVersion1(ObjectReader &Reader, const std::string &Name) {
  UpstreamRecord Upstream = readUpstreamCommon(Reader, Name);
  const std::string Host = Reader.text("host");
  const std::size_t Colon = Host.rfind(':');
  const char *End = Host.data() + Host.size();
  bool IsValid = Colon != std::string::npos && Colon > 0;
  if (IsValid) {
    Upstream.Address_ = Host.substr(0, Colon);
    const auto Parsed =
        std::from_chars(Host.data() + Colon + 1, End, Upstream.Port_);
    IsValid =
        Parsed.ec == std::errc() && Parsed.ptr == End && Upstream.Port_ != 0;
  }
  if (!Host.empty() && !IsValid)
    Reader.report("host", "Write an IP number and a port, as in "
                          "\"10.0.0.1:9000\".");
  return Upstream;
}

RecordBody readUpstreamVersion2(ObjectReader &Reader, const std::string &Name) {
  UpstreamRecord Upstream = readUpstreamCommon(Reader, Name);
  Upstream.Address_ = Reader.text("address");
  Upstream.Port_ =
      static_cast<std::uint16_t>(Reader.number("port", 1, MaxPort));
  Upstream.Connections_ =
      Reader.numberOr("connections", DefaultConnections, 1, MaxSlots);
  return Upstream;
}

RecordBody readCustomerVersion1(ObjectReader &Reader, const std::string &Name) {
  return CustomerRecord{base::CustomerName(Name),
                        Reader.real("rate", 0, MaxRequestsPerSecond),
                        Reader.real("burst", 1, MaxRequestsPerSecond), 1};
}

RecordBody readCustomerVersion2(ObjectReader &Reader, const std::string &Name) {
  return CustomerRecord{
      base::CustomerName(Name),
      Reader.real("requestsPerSecond", 0, MaxRequestsPerSecond),
      Reader.real("burstRequests", 1, MaxRequestsPerSecond),
      Reader.numberOr("weight", 1, 1, MaxWeight)};
}

std::string readHex(ObjectReader &Reader, const std::string &Member) {
  std::string Text = Reader.text(Member);
  const bool IsHex =
      Text.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (!IsHex || Text.size() % 2 != 0)
    Reader.report(Member, "Write an even count of lower-case hexadecimal "
                          "digits; \"ebonyctl keys create\" writes them.");
  return Text;
}

RecordBody readKey(ObjectReader &Reader, const std::string &Name) {
  return KeyRecord{Name, base::CustomerName(readName(Reader, "customer")),
                   readHex(Reader, "saltHex"), readHex(Reader, "hashHex")};
}

RecordBody readDrain(ObjectReader &Reader, const std::string &Name) {
  return DrainRecord{Name, base::UpstreamName(readName(Reader, "upstream"))};
}

RecordBody readShift(ObjectReader &Reader, const std::string &Name) {
  ShiftRecord Shift;
  Shift.Name_ = Name;
  Shift.Service_ = base::ServiceName(readName(Reader, "service"));
  Shift.From_ = base::ZoneName(readName(Reader, "from"));
  Shift.To_ = base::ZoneName(readName(Reader, "to"));
  Shift.TargetPermille_ = Reader.number("targetPermille", 0, FullPermille);
  Shift.CapPerInterval_ =
      Reader.number("capPerInterval", 1, std::numeric_limits<int>::max());
  Shift.Interval_ =
      millis(Reader.number("intervalMilliseconds", 1, MaxTimeoutMillis));
  return Shift;
}

struct SchemaReader {
  RecordKind Kind_;
  std::int64_t Version_;
  RecordBody (*Read_)(ObjectReader &, const std::string &);
};

constexpr std::array<SchemaReader, 20> Schemas{{
    {RecordKind::Region, 1, readRegion},
    {RecordKind::Region, 2, readRegion},
    {RecordKind::Zone, 1, readZone},
    {RecordKind::Zone, 2, readZone},
    {RecordKind::Link, 1, readLink},
    {RecordKind::Link, 2, readLink},
    {RecordKind::Service, 1, readService},
    {RecordKind::Service, 2, readService},
    {RecordKind::Route, 1, readRoute},
    {RecordKind::Route, 2, readRoute},
    {RecordKind::Upstream, 1, readUpstreamVersion1},
    {RecordKind::Upstream, 2, readUpstreamVersion2},
    {RecordKind::Customer, 1, readCustomerVersion1},
    {RecordKind::Customer, 2, readCustomerVersion2},
    {RecordKind::Key, 1, readKey},
    {RecordKind::Key, 2, readKey},
    {RecordKind::Drain, 1, readDrain},
    {RecordKind::Drain, 2, readDrain},
    {RecordKind::Shift, 1, readShift},
    {RecordKind::Shift, 2, readShift},
}};

const SchemaReader *findSchema(RecordKind Kind, std::int64_t Version) {
  for (const SchemaReader &Schema : Schemas)
    if (Schema.Kind_ == Kind && Schema.Version_ == Version)
      return &Schema;
  return nullptr;
}

std::optional<Record> readRecord(const std::string &Source,
                                 const std::string &Path,
                                 const Poco::Dynamic::Var &Value,
                                 base::Findings &Report) {
  if (Value.type() != typeid(Poco::JSON::Object::Ptr)) {
    Report.emplace_back(Source, Path, "Write a record as a JSON object.");
    return std::nullopt;
  }
  const std::size_t FindingsBefore = Report.size();
  ObjectReader Reader(Source, Path, Value.extract<Poco::JSON::Object::Ptr>(),
                      Report);
  const std::int64_t Version = Reader.number("schemaVersion", 1, 2);
  const std::string KindText = Reader.text("kind");
  Record Result;
  Result.Name_ = readName(Reader, "name");
  const auto Kind = parseRecordKind(KindText);
  if (!Kind) {
    if (!KindText.empty())
      Reader.report("kind", "Write one of " + recordKindNames() + ".");
    return std::nullopt;
  }
  const SchemaReader *Schema = findSchema(*Kind, Version);
  if (Schema == nullptr)
    return std::nullopt;
  Result.Kind_ = *Kind;
  Result.Body_ = Schema->Read_(Reader, Result.Name_);
  Reader.rejectUnknown();
  Result.Json_ = json::toText(Value);
  if (Report.size() != FindingsBefore)
    return std::nullopt;
  return Result;
}

} // namespace

base::Checked<std::vector<Record>> parseRecords(const std::string &Source,
                                                const std::string &Text) {
  BOOST_OUTCOME_TRY(Value, json::parseText(Source, Text));
  base::Findings Report;
  std::vector<Record> Records;
  const auto ParseAndAppend = [&](const std::string &Path,
                                  const Poco::Dynamic::Var &Element) {
    if (auto Parsed = readRecord(Source, Path, Element, Report))
      Records.push_back(std::move(*Parsed));
  };
  if (Value.type() == typeid(Poco::JSON::Array::Ptr)) {
    const auto Array = Value.extract<Poco::JSON::Array::Ptr>();
    for (std::size_t Index = 0; Index < Array->size(); ++Index)
      ParseAndAppend("$[" + std::to_string(Index) + "]",
                     Array->get(static_cast<unsigned>(Index)));
  } else {
    ParseAndAppend("$", Value);
  }
  if (!Report.empty())
    return Report;
  return Records;
}

base::Checked<Record> parseRecord(const std::string &Source,
                                  const std::string &Text) {
  BOOST_OUTCOME_TRY(Records, parseRecords(Source, Text));
  if (Records.size() != 1)
    return base::Findings{{Source, "$", "Write exactly one record."}};
  return std::move(Records.front());
}

} // namespace ebony::records
