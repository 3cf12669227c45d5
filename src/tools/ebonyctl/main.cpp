#include "control/commands.h"

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>

DEFINE_string(operator, "http://127.0.0.1:8070",
              "URL of the operators' interface of any agent.");
DEFINE_string(token, "",
              "Operator's token; defaults to the environment variable "
              "EBONY_OPERATOR_TOKEN.");
DEFINE_int64(base_revision, ebony::control::NewestRevision,
             "Revision that a change is based on; the change is rejected when "
             "another one was committed since.");

namespace {

constexpr ebony::base::Duration CallTimeout = std::chrono::seconds(30);

std::string operatorToken() {
  if (!FLAGS_token.empty())
    return FLAGS_token;
  const char *Token = std::getenv("EBONY_OPERATOR_TOKEN");
  return Token == nullptr ? "" : Token;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  namespace control = ebony::control;
  gflags::SetUsageMessage(
      "Checks, applies and reads the records of a fleet.\n" +
      control::Commands::usage());
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  const auto AgentEndpoint = control::parseOperatorUrl(FLAGS_operator);
  if (AgentEndpoint.has_error()) {
    std::cerr << ebony::base::toText(AgentEndpoint.error());
    return static_cast<int>(control::ExitCode::BadUsage);
  }
  const control::OperatorClient Client(
      ebony::httpkit::HttpClient(AgentEndpoint.value(), "", CallTimeout),
      operatorToken());
  control::Commands Commands(Client, FLAGS_base_revision, std::cout, std::cerr);
  return static_cast<int>(Commands.run(
      std::vector<std::string>(Arguments + 1, Arguments + ArgumentCount)));
}
