#include "base/steadyclock.h"
#include "standin/httplistener.h"
#include "standin/stopsignal.h"
#include "standin/textfile.h"
#include "upstreamstandin/controlservice.h"
#include "upstreamstandin/targetservice.h"
#include "upstreamstandin/upstreamsettings.h"

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <Poco/Exception.h>

#include <cstdlib>
#include <iostream>

DEFINE_string(settings, "", "JSON file with the settings of this process.");
DEFINE_bool(check_settings, false, "Check the settings file and exit.");

using namespace ebony;

namespace {

base::Checked<upstreamstandin::UpstreamSettings> readSettings() {
  const auto Text = standin::readText(FLAGS_settings);
  if (!Text)
    return Text.error();
  return upstreamstandin::parseSettings(Text.value(), FLAGS_settings);
}

/// HTTP service and listener of one target.
struct HostedTarget {
  HostedTarget(upstreamstandin::Target &ServedTarget, const base::Clock &Clock)
      : Service_(ServedTarget, Clock),
        Listener_(Service_, ServedTarget.settings().Address_,
                  ServedTarget.settings().Port_,
                  ServedTarget.settings().ConnectionCost_) {}

  upstreamstandin::TargetService Service_;
  standin::HttpListener Listener_;
};

int serve(const upstreamstandin::UpstreamSettings &Settings) {
  const standin::StopSignal Stop;
  const base::SteadyClock Clock;
  base::RandomEngine Random(Settings.Seed_);
  std::vector<std::unique_ptr<upstreamstandin::Target>> Targets;
  std::vector<std::unique_ptr<HostedTarget>> Hosted;
  for (const upstreamstandin::TargetSettings &TargetSettings :
       Settings.Targets_) {
    Targets.push_back(std::make_unique<upstreamstandin::Target>(
        TargetSettings, base::RandomEngine(Random())));
    Hosted.push_back(std::make_unique<HostedTarget>(*Targets.back(), Clock));
  }
  upstreamstandin::ControlService Control(Targets);
  standin::HttpListener Listener(Control, Settings.ControlAddress_,
                                 Settings.ControlPort_, base::Duration::zero());
  LOG(INFO) << "event=started role=upstream-standin targets=" << Targets.size()
            << " address=" << Settings.ControlAddress_
            << " port=" << Listener.port();
  const int Signal = Stop.wait();
  for (const auto &Host : Hosted)
    Host->Listener_.stop();
  Listener.stop();
  LOG(INFO) << "event=stopped role=upstream-standin signal=" << Signal;
  return EXIT_SUCCESS;
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  google::InitGoogleLogging(Arguments[0]);
  const auto Settings = readSettings();
  if (!Settings) {
    std::cerr << base::toText(Settings.error());
    return EXIT_FAILURE;
  }
  if (FLAGS_check_settings)
    return EXIT_SUCCESS;
  try {
    return serve(Settings.value());
  } catch (const Poco::Exception &Error) {
    std::cerr << "Give addresses and ports that are free: "
              << Error.displayText() << "\n";
    return EXIT_FAILURE;
  }
}
