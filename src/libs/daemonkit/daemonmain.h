#ifndef EBONY_DAEMONKIT_DAEMONMAIN_H
#define EBONY_DAEMONKIT_DAEMONMAIN_H

#include "base/finding.h"
#include "httpkit/terminationsignal.h"

#include <functional>
#include <memory>
#include <string>

namespace ebony::daemonkit {

/// Parses the command line, initializes logging and blocks termination signals.
/// Returns the path of the settings file.
std::string initializeProcess(int ArgumentCount, char **Arguments,
                              const char *Usage);

/// Returns whether --check_settings was given.
bool isCheckOnly();

/// Prints the findings to standard error. Returns the exit code for invalid
/// settings.
int reportFindings(const base::Findings &Report);

/// Runs \p Start, waits for SIGTERM or SIGINT, runs \p Stop. Returns the exit
/// code of the process.
int runUntilStopped(const std::function<void()> &Start,
                    const std::function<void()> &Stop);

/// Runs a daemon process: reads the settings with \p ReadSettings, runs an
/// instance of \p Daemon until a termination signal, and returns the exit code.
template <typename Daemon, typename Reader>
int runDaemon(int ArgumentCount, char **Arguments, const char *Usage,
              Reader &&ReadSettings) {
  const std::string Path = initializeProcess(ArgumentCount, Arguments, Usage);
  const auto Settings = ReadSettings(Path);
  if (Settings.has_error())
    return reportFindings(Settings.error());
  if (isCheckOnly())
    return 0;
  std::unique_ptr<Daemon> Instance;
  return runUntilStopped(
      [&] {
        Instance = std::make_unique<Daemon>(Settings.value());
        Instance->start();
      },
      [&] { Instance->stop(); });
}

} // namespace ebony::daemonkit

#endif
