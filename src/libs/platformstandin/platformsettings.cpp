#include "platformstandin/platformsettings.h"

#include "standin/jsonfields.h"

namespace ebony::platformstandin {

base::Checked<PlatformSettings> parseSettings(const std::string &Text,
                                              const std::string &Source) {
  constexpr double MillisecondsPerSecond = 1000.0;
  base::Findings Problems;
  standin::JsonFields Fields(standin::parseObject(Text, Source, Problems),
                             Source, "$", Problems);
  PlatformSettings Settings;
  Settings.Address_ = Fields.text("address");
  Settings.Port_ = Fields.port("port");
  Settings.WritesPerSecond_ =
      Fields.number("writesPerSecond", Settings.WritesPerSecond_);
  Settings.ReadsPerSecond_ =
      Fields.number("readsPerSecond", Settings.ReadsPerSecond_);
  Settings.VmListLag_ = Fields.milliseconds("vmListLagMs", Settings.VmListLag_);
  Settings.Seed_ = static_cast<std::uint64_t>(Fields.whole("seed", 1));
  for (double Latency : Fields.numbers("zoneOneWayMs"))
    Settings.ZoneLatencies_.push_back(
        base::fromSeconds(Latency / MillisecondsPerSecond));
  for (standin::JsonFields &Vm : Fields.objects("vms")) {
    Settings.Vms_.push_back(
        {Vm.text("address"), Vm.text("zone"), Vm.text("state", "live")});
    Vm.rejectUnknown();
  }
  Fields.rejectUnknown();
  if (!Problems.empty())
    return Problems;
  return Settings;
}

} // namespace ebony::platformstandin
