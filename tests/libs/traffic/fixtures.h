#ifndef EBONY_TESTS_TRAFFIC_FIXTURES_H
#define EBONY_TESTS_TRAFFIC_FIXTURES_H

#include "traffic/job.h"
#include "traffic/memberreport.h"
#include "traffic/trafficrules.h"
#include "traffic/upstreamtable.h"

#include <memory>
#include <string>

namespace ebony::traffic::fixtures {

using namespace std::chrono_literals;

inline base::TimePoint at(base::Duration Span) {
  return base::TimePoint(std::chrono::hours(1)) + Span;
}

inline std::map<base::ZoneName, base::RegionName> zones() {
  std::map<base::ZoneName, base::RegionName> Result;
  for (const char *Region : {"east", "west", "north"})
    for (const char *Half : {"-a", "-b"})
      Result[base::ZoneName(std::string(Region) + Half)] =
          base::RegionName(Region);
  return Result;
}

inline UpstreamEntry upstream(const std::string &Name, const std::string &Zone,
                              int Slots = 4,
                              const std::string &Service = "status") {
  UpstreamEntry Entry;
  Entry.Name_ = base::UpstreamName(Name);
  Entry.Service_ = base::ServiceName(Service);
  Entry.Address_ = "10.0.0.1";
  Entry.Port_ = 80;
  Entry.Zone_ = base::ZoneName(Zone);
  Entry.Slots_ = Slots;
  Entry.StartedUnixMs_ = 1;
  return Entry;
}

inline UpstreamTable table() { return {zones(), 2s}; }

inline std::unique_ptr<Job> job(JobId Id, base::TimePoint Arrived,
                                std::uint64_t Object = 7) {
  auto Result = std::make_unique<Job>();
  Result->Id_ = Id;
  Result->Service_ = base::ServiceName("status");
  Result->Route_ = "lookup";
  Result->RetryPolicy_ = RetryPolicy::Idempotent;
  Result->ObjectHash_ = Object;
  Result->LatencyObjective_ = 600ms;
  Result->Arrived_ = Arrived;
  Result->ObjectiveDeadline_ = Arrived + 600ms;
  Result->Deadline_ = Arrived + 1500ms;
  return Result;
}

inline CustomerSettings customer(const char *Name, double Rate, double Burst) {
  CustomerSettings Terms;
  Terms.Name_ = base::CustomerName(Name);
  Terms.RatePerSecond_ = Rate;
  Terms.Burst_ = Burst;
  return Terms;
}

inline MemberReport report(const std::string &Name,
                           const std::string &Zone = "east-a") {
  MemberReport Report;
  Report.Name_ = Name;
  Report.Incarnation_ = 1;
  Report.CallerAddress_ = Name + ":80";
  Report.Zone_ = base::ZoneName(Zone);
  Report.Region_ = base::RegionName(Zone.substr(0, Zone.find('-')));
  Report.IsReady_ = true;
  Report.IsCurrent_ = true;
  Report.CorePermille_ = 200;
  return Report;
}

} // namespace ebony::traffic::fixtures

#endif
