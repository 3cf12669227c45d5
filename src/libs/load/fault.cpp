#include "load/fault.h"

#include "standin/jsonfields.h"

#include <algorithm>

namespace ebony::load {

namespace {

std::vector<Endpoint> recipientEndpoints(standin::JsonFields &Fields,
                                         const Fleet &TargetFleet) {
  const std::string Recipient = Fields.text("to");
  if (Recipient == "platform")
    return {TargetFleet.Platform_};
  std::vector<Endpoint> Endpoints;
  for (const FleetZone &Zone : TargetFleet.Zones_)
    if (Recipient == "upstreams" || Recipient == Zone.Name_ ||
        Recipient == Zone.Region_)
      Endpoints.push_back(Zone.UpstreamControl_);
  if (Endpoints.empty())
    Fields.reject("to", "Give platform, upstreams, a zone or a region.");
  return Endpoints;
}

} // namespace

base::Checked<std::vector<Fault>> parseFaults(const std::string &Text,
                                              const std::string &Source,
                                              const Fleet &TargetFleet) {
  base::Findings Problems;
  standin::JsonFields Fields(standin::parseObject(Text, Source, Problems),
                             Source, "$", Problems);
  std::vector<Fault> Faults;
  for (standin::JsonFields &FaultFields : Fields.objects("faults")) {
    const double Seconds = FaultFields.number("atSeconds");
    if (Seconds < 0)
      FaultFields.reject("atSeconds", "Give a time that is not negative.");
    Faults.push_back({base::fromSeconds(Seconds),
                      recipientEndpoints(FaultFields, TargetFleet),
                      FaultFields.object("orders").json()});
    FaultFields.rejectUnknown();
  }
  Fields.rejectUnknown();
  if (!Problems.empty())
    return Problems;
  std::ranges::stable_sort(Faults, {}, &Fault::When_);
  return Faults;
}

} // namespace ebony::load
