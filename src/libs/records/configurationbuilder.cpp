#include "records/configurationbuilder.h"

#include <array>
#include <set>
#include <utility>

namespace ebony::records {

namespace {

/// Collects findings for references to records that do not exist.
class ReferenceChecker {
public:
  ReferenceChecker(const Configuration &Config, std::string Source)
      : Config_(Config), Source_(std::move(Source)) {}

  template <typename T>
  void require(const char *Kind, const std::string &Owner, const char *Member,
               const std::string &Name) {
    if (Config_.find<T>(Name) == nullptr)
      report(Kind, Owner, Member,
             "Create \"" + Name + "\" first or name one that exists.");
  }

  void report(const char *Kind, const std::string &Owner, const char *Member,
              const std::string &Message) {
    Report_.emplace_back(
        Source_, std::string(Kind) + " " + Owner + ": $." + Member, Message);
  }

  base::Findings releaseFindings() { return std::move(Report_); }

private:
  const Configuration &Config_;
  std::string Source_;
  base::Findings Report_;
};

void checkUpstreams(const Configuration &Config, ReferenceChecker &Checker) {
  std::set<std::string> Endpoints;
  for (const auto &[Name, Entry] : Config.all<UpstreamRecord>()) {
    Checker.require<ServiceRecord>("upstream", Name, "service",
                                   Entry.Service_.text());
    Checker.require<ZoneRecord>("upstream", Name, "zone", Entry.Zone_.text());
    const std::string Endpoint =
        Entry.Address_ + ":" + std::to_string(Entry.Port_);
    if (!Endpoints.insert(Endpoint).second)
      Checker.report("upstream", Name, "address",
                     "Give each upstream an address and port of its own; " +
                         Endpoint + " stands twice.");
  }
}

} // namespace

ConfigurationBuilder::ConfigurationBuilder(Configuration Previous)
    : Next_(std::move(Previous)) {}

void ConfigurationBuilder::put(const Record &Added) {
  std::visit(
      [&](const auto &Body) {
        using T = std::decay_t<decltype(Body)>;
        auto &Table = std::get<Configuration::Table<T>>(Next_.Tables_);
        auto Copy = std::make_shared<RecordTable<T>>(*Table);
        Copy->insert_or_assign(Added.Name_, Body);
        Table = std::move(Copy);
      },
      Added.Body_);
}

void ConfigurationBuilder::remove(RecordKind Kind, const std::string &Name) {
  std::size_t Index = 0;
  std::apply(
      [&](auto &...Table) {
        const auto Erase = [&](auto &RecordTablePtr) {
          if (Index++ != static_cast<std::size_t>(Kind) ||
              RecordTablePtr->count(Name) == 0)
            return;
          using T = std::decay_t<decltype(RecordTablePtr->begin()->second)>;
          auto Copy = std::make_shared<RecordTable<T>>(*RecordTablePtr);
          Copy->erase(Name);
          RecordTablePtr = std::move(Copy);
        };
        (Erase(Table), ...);
      },
      Next_.Tables_);
}

base::Findings ConfigurationBuilder::check(const std::string &Source) const {
  ReferenceChecker Checker(Next_, Source);
  for (const auto &[Name, Entry] : Next_.all<ZoneRecord>())
    Checker.require<RegionRecord>("zone", Name, "region", Entry.Region_.text());
  for (const auto &[Name, Entry] : Next_.all<LinkRecord>()) {
    Checker.require<RegionRecord>("link", Name, "from", Entry.From_.text());
    Checker.require<RegionRecord>("link", Name, "to", Entry.To_.text());
  }
  for (const auto &[Name, Entry] : Next_.all<RouteRecord>())
    Checker.require<ServiceRecord>("route", Name, "service",
                                   Entry.Service_.text());
  checkUpstreams(Next_, Checker);
  for (const auto &[Name, Entry] : Next_.all<KeyRecord>())
    Checker.require<CustomerRecord>("key", Name, "customer",
                                    Entry.Customer_.text());
  for (const auto &[Name, Entry] : Next_.all<DrainRecord>())
    Checker.require<UpstreamRecord>("drain", Name, "upstream",
                                    Entry.Upstream_.text());
  for (const auto &[Name, Entry] : Next_.all<ShiftRecord>()) {
    Checker.require<ServiceRecord>("shift", Name, "service",
                                   Entry.Service_.text());
    Checker.require<ZoneRecord>("shift", Name, "from", Entry.From_.text());
    Checker.require<ZoneRecord>("shift", Name, "to", Entry.To_.text());
  }
  return Checker.releaseFindings();
}

Configuration ConfigurationBuilder::build(std::int64_t Revision) const {
  Configuration Result = Next_;
  Result.Revision_ = Revision;
  return Result;
}

} // namespace ebony::records
