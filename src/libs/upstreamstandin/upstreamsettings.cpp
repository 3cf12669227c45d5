#include "upstreamstandin/upstreamsettings.h"

#include "standin/jsonfields.h"

namespace ebony::upstreamstandin {

namespace {

TargetSettings parseTarget(standin::JsonFields &Fields) {
  TargetSettings Target;
  Target.Name_ = Fields.text("name");
  Target.Address_ = Fields.text("address");
  Target.Port_ = Fields.port("port");
  Target.Slots_ = static_cast<int>(Fields.whole("slots"));
  Target.ServiceTime_ = Fields.milliseconds("serviceMs", Target.ServiceTime_);
  Target.ProbeCost_ = Fields.milliseconds("probeMs", Target.ProbeCost_);
  Target.ConnectionCost_ =
      Fields.milliseconds("connectionMs", Target.ConnectionCost_);
  Target.ColdExtra_ = Fields.milliseconds("coldMs", Target.ColdExtra_);
  Target.ColdRuns_ = static_cast<int>(Fields.whole("coldRuns", 0));
  if (Target.Slots_ < 1)
    Fields.reject("slots", "Give at least one slot.");
  Fields.rejectUnknown();
  return Target;
}

} // namespace

base::Checked<UpstreamSettings> parseSettings(const std::string &Text,
                                              const std::string &Source) {
  base::Findings Problems;
  standin::JsonFields Fields(standin::parseObject(Text, Source, Problems),
                             Source, "$", Problems);
  UpstreamSettings Settings;
  Settings.ControlAddress_ = Fields.text("controlAddress");
  Settings.ControlPort_ = Fields.port("controlPort");
  Settings.Seed_ = static_cast<std::uint64_t>(Fields.whole("seed", 1));
  for (standin::JsonFields &Target : Fields.objects("targets"))
    Settings.Targets_.push_back(parseTarget(Target));
  Fields.rejectUnknown();
  if (!Problems.empty())
    return Problems;
  return Settings;
}

} // namespace ebony::upstreamstandin
