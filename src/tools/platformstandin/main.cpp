#include "base/steadyclock.h"
#include "platformstandin/platformservice.h"
#include "standin/httplistener.h"
#include "standin/stopsignal.h"
#include "standin/textfile.h"

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <Poco/Exception.h>

#include <cstdlib>
#include <iostream>

DEFINE_string(settings, "", "JSON file with the settings of this process.");
DEFINE_bool(check_settings, false, "Check the settings file and exit.");

using namespace ebony;

namespace {

base::Checked<platformstandin::PlatformSettings> readSettings() {
  const auto Text = standin::readText(FLAGS_settings);
  if (!Text)
    return Text.error();
  return platformstandin::parseSettings(Text.value(), FLAGS_settings);
}

int serve(const platformstandin::PlatformSettings &Settings) {
  const standin::StopSignal Stop;
  const base::SteadyClock Clock;
  platformstandin::PlatformCore Core(Settings,
                                     base::RandomEngine(Settings.Seed_));
  platformstandin::PlatformService Service(Core, Clock);
  standin::HttpListener Listener(Service, Settings.Address_, Settings.Port_,
                                 base::Duration::zero());
  LOG(INFO) << "event=started role=platform-standin address="
            << Settings.Address_ << " port=" << Listener.port();
  const int Signal = Stop.wait();
  Listener.stop();
  LOG(INFO) << "event=stopped role=platform-standin signal=" << Signal;
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
    std::cerr << "Give an address and port that are free: "
              << Error.displayText() << "\n";
    return EXIT_FAILURE;
  }
}
