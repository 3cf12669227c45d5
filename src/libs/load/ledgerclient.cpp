#include "load/ledgerclient.h"

namespace ebony::load {

base::Checked<Ledger> readLedgers(const Fleet &TargetFleet,
                                  HttpCaller &Caller) {
  constexpr base::Duration Timeout = std::chrono::seconds(10);
  OutgoingRequest Request;
  Request.Target_ = "/standin/ledger";
  Request.Timeout_ = Timeout;
  base::Findings Problems;
  Ledger Merged;
  for (const FleetZone &Zone : TargetFleet.Zones_) {
    const IncomingAnswer Answer = Caller.call(Zone.UpstreamControl_, Request);
    const std::string Source = "ledger of " + Zone.Name_;
    if (Answer.State_ != AnswerState::Complete) {
      Problems.emplace_back(Source, "",
                            "Start the upstream stand-in of this zone.");
      continue;
    }
    const auto ZoneLedger = parseLedger(Answer.Body_, Source);
    if (ZoneLedger)
      Merged.merge(ZoneLedger.value());
    else
      Problems.insert(Problems.end(), ZoneLedger.error().begin(),
                      ZoneLedger.error().end());
  }
  if (!Problems.empty())
    return Problems;
  return Merged;
}

} // namespace ebony::load
