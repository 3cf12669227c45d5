#include "daemonkit/daemonmain.h"

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <iostream>

DEFINE_string(settings, "", "JSON file with the daemon's settings.");
DEFINE_bool(check_settings, false,
            "Check the settings, print all findings and exit.");

namespace ebony::daemonkit {

std::string initializeProcess(int ArgumentCount, char **Arguments,
                              const char *Usage) {
  gflags::SetUsageMessage(Usage);
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  google::InitGoogleLogging(Arguments[0]);
  httpkit::blockTerminationSignals();
  return FLAGS_settings;
}

bool isCheckOnly() { return FLAGS_check_settings; }

int reportFindings(const base::Findings &Report) {
  constexpr int ExitBadSettings = 2;
  std::cerr << base::toText(Report);
  return ExitBadSettings;
}

int runUntilStopped(const std::function<void()> &Start,
                    const std::function<void()> &Stop) {
  try {
    Start();
  } catch (const std::exception &Error) {
    LOG(ERROR)
        << "The daemon failed to start; correct the cause and restart it: "
        << Error.what();
    return 1;
  }
  const int Signal = httpkit::waitForTerminationSignal();
  LOG(INFO) << "stopping signal=" << Signal;
  Stop();
  return 0;
}

} // namespace ebony::daemonkit
