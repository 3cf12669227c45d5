#include "base/steadyclock.h"
#include "platform/binding.h"
#include "platform/boundsdecoder.h"
#include "vm/vmdaemon.h"

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <random>

DEFINE_string(settings, "",
              "Settings file; without it, the file that EBONYCOVE_NODE_FILE "
              "names.");
DEFINE_bool(check_settings, false,
            "Print all findings about the settings and exit.");

namespace {

// Exit codes: 0 after a planned stop, 2 for invalid settings, 1 for any other
// error that keeps the process from running.
constexpr int ExitFailure = 1;
constexpr int ExitSettings = 2;

std::string settingsPath() {
  if (!FLAGS_settings.empty())
    return FLAGS_settings;
  const char *Path = std::getenv("EBONYCOVE_NODE_FILE");
  return Path ? Path : "";
}

int runDaemon(const ebony::vm::VmSettings &Settings) {
  boost::asio::io_context Context(1);
  const ebony::base::SteadyClock Clock;
  ebony::vm::VmState State(
      Context, Clock, Settings, ebony::adapter::decodeBounds(Settings.Bounds_),
      ebony::adapter::makeBinding(Context, Settings.Store_),
      std::random_device()());
  ebony::vm::VmDaemon Daemon(Context, State);
  Daemon.start();
  Context.run();
  return EXIT_SUCCESS;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("Serves callers on one entry VM of the platform.");
  gflags::SetVersionString("1");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  const auto Settings = ebony::vm::readVmSettings(settingsPath());
  if (Settings.has_error()) {
    std::cerr << ebony::base::toText(Settings.error()) << '\n';
    return ExitSettings;
  }
  if (FLAGS_check_settings)
    return EXIT_SUCCESS;
  try {
    return runDaemon(Settings.value());
  } catch (const std::exception &Error) {
    std::cerr << "ebony-vmd cannot run: " << Error.what() << '\n';
    return ExitFailure;
  }
}
