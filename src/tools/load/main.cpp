#include "base/steadyclock.h"
#include "load/comparison.h"
#include "load/faultinjector.h"
#include "load/fleetfiles.h"
#include "load/ledgerclient.h"
#include "load/reportbuilder.h"
#include "load/reportjson.h"
#include "load/runner.h"
#include "load/trace.h"
#include "standin/textfile.h"

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <cstdlib>
#include <iostream>
#include <vector>

DEFINE_string(deployment, "confirmacor",
              "Deployment: confirmacor, loan-office.");
DEFINE_string(directory, ".", "Folder into which fleet writes its files.");
DEFINE_string(operator_token, "demo-operator",
              "Operators' token of the fleet.");
DEFINE_string(fleet, "fleet.json", "File that describes the running fleet.");
DEFINE_string(workload, "", "JSON file with the load to offer.");
DEFINE_string(report, "", "File to write the report to as JSON.");
DEFINE_string(customer, "", "Customer whose key to set.");
DEFINE_string(faults, "", "JSON file with orders to stand-ins by time.");
DEFINE_string(trace_in, "", "Trace to replay in place of drawn arrivals.");
DEFINE_string(trace_out, "", "File to write the trace of the run to.");
DEFINE_double(seconds, 20, "Seconds over which requests arrive.");

using namespace ebony;

namespace {

using CommandArguments = std::vector<std::string>;

int fail(const base::Findings &Problems) {
  std::cerr << base::toText(Problems);
  return EXIT_FAILURE;
}

int writeFleet(const CommandArguments & /*Files*/) {
  const auto FoundDeployment = load::findDeployment(FLAGS_deployment);
  if (!FoundDeployment)
    return fail(FoundDeployment.error());
  const load::FleetPlan Plan(FoundDeployment.value());
  const base::Findings Problems = load::writeFiles(
      load::fleetFiles(Plan, FLAGS_operator_token), FLAGS_directory);
  return Problems.empty() ? EXIT_SUCCESS : fail(Problems);
}

base::Checked<load::Fleet> readFleet() {
  const auto Text = standin::readText(FLAGS_fleet);
  if (!Text)
    return Text.error();
  return load::parseFleet(Text.value(), FLAGS_fleet);
}

base::Checked<load::Workload> readWorkload() {
  const auto Text = standin::readText(FLAGS_workload);
  if (!Text)
    return Text.error();
  return load::parseWorkload(Text.value(), FLAGS_workload);
}

base::Checked<load::Report> readReport(const std::string &Path) {
  const auto Text = standin::readText(Path);
  if (!Text)
    return Text.error();
  return load::parseReport(Text.value(), Path);
}

int setKey(const CommandArguments & /*Files*/) {
  std::string Key;
  std::getline(std::cin, Key);
  const auto Text = standin::readText(FLAGS_fleet);
  if (!Text)
    return fail(Text.error());
  const auto Changed =
      load::withCustomerKey(Text.value(), FLAGS_fleet, FLAGS_customer, Key);
  if (!Changed)
    return fail(Changed.error());
  const base::Findings Problems =
      standin::writeText(FLAGS_fleet, Changed.value());
  return Problems.empty() ? EXIT_SUCCESS : fail(Problems);
}

void appendFindings(base::Findings &Findings, const base::Findings &Added) {
  Findings.insert(Findings.end(), Added.begin(), Added.end());
}

/// Input of a run, read before it starts.
struct RunPlan {
  load::Fleet Fleet_;
  load::Workload Workload_;
  std::vector<load::Fault> Faults_;
  std::vector<load::Arrival> Arrivals_;
};

base::Checked<std::vector<load::Fault>>
readFaults(const load::Fleet &TargetFleet) {
  if (FLAGS_faults.empty())
    return std::vector<load::Fault>();
  const auto Text = standin::readText(FLAGS_faults);
  if (!Text)
    return Text.error();
  return load::parseFaults(Text.value(), FLAGS_faults, TargetFleet);
}

base::Checked<std::vector<load::Arrival>>
readArrivals(const load::Workload &Load) {
  if (FLAGS_trace_in.empty())
    return load::planArrivals(Load, base::fromSeconds(FLAGS_seconds));
  const auto Text = standin::readText(FLAGS_trace_in);
  if (!Text)
    return Text.error();
  return load::parseTrace(Text.value(), FLAGS_trace_in, Load);
}

base::Checked<RunPlan> readPlan() {
  base::Findings Problems;
  const auto TargetFleet = readFleet();
  const auto Load = readWorkload();
  if (!TargetFleet)
    appendFindings(Problems, TargetFleet.error());
  if (!Load)
    appendFindings(Problems, Load.error());
  if (!Problems.empty())
    return Problems;
  const auto Faults = readFaults(TargetFleet.value());
  const auto Arrivals = readArrivals(Load.value());
  if (!Faults)
    appendFindings(Problems, Faults.error());
  if (!Arrivals)
    appendFindings(Problems, Arrivals.error());
  if (!Problems.empty())
    return Problems;
  return RunPlan{TargetFleet.value(), Load.value(), Faults.value(),
                 Arrivals.value()};
}

base::Findings writeResults(const RunPlan &Plan, const load::Report &Result,
                            const std::vector<load::RequestRecord> &Records) {
  base::Findings Problems;
  if (!FLAGS_report.empty())
    appendFindings(Problems,
                   standin::writeText(FLAGS_report, load::toJsonText(Result)));
  if (!FLAGS_trace_out.empty())
    appendFindings(
        Problems, standin::writeText(FLAGS_trace_out,
                                     load::traceText(Plan.Workload_, Records)));
  // Without a served request no violation can occur, so the run proves
  // nothing and must fail.
  if (Result.Total_.Served_ == 0)
    Problems.emplace_back(FLAGS_fleet, "",
                          "No request was served; check the fleet's logs.");
  return Problems;
}

int runLoad(const CommandArguments & /*Files*/) {
  const auto ParsedPlan = readPlan();
  if (!ParsedPlan)
    return fail(ParsedPlan.error());
  const RunPlan &Plan = ParsedPlan.value();
  const base::SteadyClock Clock;
  load::HttpCaller Caller;
  const auto Before = load::readLedgers(Plan.Fleet_, Caller);
  if (!Before)
    return fail(Before.error());
  load::FaultInjector Injector(Plan.Faults_, Clock);
  load::Runner Run(Plan.Fleet_, Plan.Workload_, Clock);
  const auto Records = Run.run(Plan.Arrivals_);
  base::Findings Problems = Injector.finish();
  const auto After = load::readLedgers(Plan.Fleet_, Caller);
  if (!After)
    return fail(After.error());
  const load::ReportBuilder Builder(Plan.Fleet_, Plan.Workload_,
                                    base::fromSeconds(FLAGS_seconds));
  const load::Report Result =
      Builder.build(Records, Before.value(), After.value());
  std::cout << load::toText(Result);
  appendFindings(Problems, writeResults(Plan, Result, Records));
  if (!Problems.empty())
    return fail(Problems);
  return Result.Violations_.total() == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int compareReports(const CommandArguments &Files) {
  if (Files.size() != 2)
    return fail({{"compare", "", "Give two report files."}});
  const auto First = readReport(Files[0]);
  const auto Second = readReport(Files[1]);
  if (!First)
    return fail(First.error());
  if (!Second)
    return fail(Second.error());
  std::cout << load::formatComparison(First.value(), Second.value());
  return EXIT_SUCCESS;
}

struct Command {
  const char *Name_;
  int (*Run_)(const CommandArguments &);
};

constexpr Command Commands[] = {
    {"fleet", writeFleet},
    {"key", setKey},
    {"run", runLoad},
    {"compare", compareReports},
};

} // namespace

int main(int Count, char **Arguments) {
  gflags::SetUsageMessage(
      "fleet --deployment=NAME --directory=D | key --fleet=F --customer=C <KEY "
      "| run --fleet=F --workload=W --seconds=N --report=R | compare A B");
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  google::InitGoogleLogging(Arguments[0]);
  const CommandArguments Words(Arguments + 1, Arguments + Count);
  for (const Command &Candidate : Commands)
    if (!Words.empty() && Words[0] == Candidate.Name_)
      return Candidate.Run_(CommandArguments(Words.begin() + 1, Words.end()));
  std::cerr << "Give a command: " << gflags::ProgramUsage() << "\n";
  return EXIT_FAILURE;
}
