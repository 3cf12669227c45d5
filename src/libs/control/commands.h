#ifndef EBONY_CONTROL_COMMANDS_H
#define EBONY_CONTROL_COMMANDS_H

#include "control/operatorclient.h"

#include <ostream>
#include <string>
#include <vector>

namespace ebony::control {

/// Revision that "apply" builds on; none asks the agent for the newest.
inline constexpr std::int64_t NewestRevision = -1;

/// Exit codes of ebonyctl.
enum class ExitCode { Done = 0, Refused = 1, BadUsage = 2, Raced = 3 };

/// The commands of ebonyctl.
class Commands {
public:
  /// \p BaseRevision is the revision that changes build on.
  Commands(const OperatorClient &Client, std::int64_t BaseRevision,
           std::ostream &Output, std::ostream &Errors);

  /// Runs the command that \p Words name.
  ExitCode run(const std::vector<std::string> &Words);

  /// One line for each command.
  static std::string usage();

private:
  using Words = std::vector<std::string>;
  using Method = ExitCode (Commands::*)(const Words &);
  struct Command {
    const char *Name_;
    std::size_t Arguments_;
    const char *Usage_;
    Method Run_;
  };
  static const Command Table[];

  ExitCode check(const Words &Arguments);
  ExitCode apply(const Words &Arguments);
  ExitCode get(const Words &Arguments);
  ExitCode list(const Words &Arguments);
  ExitCode remove(const Words &Arguments);
  ExitCode createKey(const Words &Arguments);
  ExitCode withdrawKey(const Words &Arguments);
  ExitCode drain(const Words &Arguments);
  ExitCode undrain(const Words &Arguments);
  ExitCode shift(const Words &Arguments);
  ExitCode status(const Words &Arguments);
  ExitCode explain(const Words &Arguments);
  ExitCode why(const Words &Arguments);
  ExitCode setLogLevel(const Words &Arguments);

  ExitCode applyText(const std::string &Source, const std::string &Text);
  ExitCode change(const std::string &Method, const std::string &Target,
                  const std::string &Body, const std::string &Source);
  ExitCode show(const std::string &Target);
  ExitCode report(const base::Findings &Report);
  ExitCode reportAnswer(const httpkit::SmallResponse &Answer);

  const OperatorClient &Client_;
  std::int64_t BaseRevision_;
  std::ostream &Output_;
  std::ostream &Errors_;
};

} // namespace ebony::control

#endif
