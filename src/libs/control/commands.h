#ifndef EBONY_CONTROL_COMMANDS_H
#define EBONY_CONTROL_COMMANDS_H

#include "control/operatorclient.h"

#include <ostream>
#include <string>
#include <vector>

namespace ebony::control {

/// Base revision of changes that apply to whichever revision is current.
inline constexpr std::int64_t NewestRevision = -1;

/// Exit codes of ebonyctl.
enum class ExitCode { Done = 0, Refused = 1, BadUsage = 2, Raced = 3 };

/// Implements the commands of ebonyctl.
class Commands {
public:
  /// Changes are rejected when \p BaseRevision is not the current revision,
  /// unless it is \c NewestRevision.
  Commands(const OperatorClient &Client, std::int64_t BaseRevision,
           std::ostream &Output, std::ostream &Errors);

  /// Runs the command that the first \p Arguments name with the remaining ones.
  ExitCode run(const std::vector<std::string> &Arguments);

  /// Returns the usage text, one line for each command.
  static std::string usage();

private:
  using ArgumentList = std::vector<std::string>;
  using Handler = ExitCode (Commands::*)(const ArgumentList &);
  struct Command {
    const char *Name_;
    std::size_t ArgumentCount_;
    const char *Usage_;
    Handler Handler_;
  };
  static const Command CommandTable[];

  ExitCode check(const ArgumentList &Arguments);
  ExitCode apply(const ArgumentList &Arguments);
  ExitCode get(const ArgumentList &Arguments);
  ExitCode list(const ArgumentList &Arguments);
  ExitCode remove(const ArgumentList &Arguments);
  ExitCode createKey(const ArgumentList &Arguments);
  ExitCode withdrawKey(const ArgumentList &Arguments);
  ExitCode drain(const ArgumentList &Arguments);
  ExitCode undrain(const ArgumentList &Arguments);
  ExitCode shift(const ArgumentList &Arguments);
  ExitCode status(const ArgumentList &Arguments);
  ExitCode explain(const ArgumentList &Arguments);
  ExitCode why(const ArgumentList &Arguments);
  ExitCode setLogLevel(const ArgumentList &Arguments);

  ExitCode applyText(const std::string &Source, const std::string &Text);
  ExitCode submitChange(const std::string &Method, const std::string &Target,
                        const std::string &Body, const std::string &Source);
  ExitCode printResponse(const std::string &Target);
  ExitCode reportFindings(const base::Findings &Report);
  ExitCode reportProblem(const httpkit::SmallResponse &Answer);

  const OperatorClient &Client_;
  std::int64_t BaseRevision_;
  std::ostream &Output_;
  std::ostream &Errors_;
};

} // namespace ebony::control

#endif
