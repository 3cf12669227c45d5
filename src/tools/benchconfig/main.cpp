#include "base/randomengine.h"
#include "base/steadyclock.h"
#include "config/changecodec.h"
#include "configagent/configagent.h"
#include "trust/keyauthenticator.h"
#include "trust/keygenerator.h"

#include <gflags/gflags.h>
#include <malloc.h>

#include <algorithm>
#include <iostream>

DEFINE_int32(records, 180000, "Records of the configuration.");
DEFINE_int32(repeats, 2000, "Changes, pulls and joins that are timed.");
DEFINE_int32(key_checks, 400000, "Key checks that are timed.");

using namespace ebony;

namespace {

class NullObserver final : public config::ConfigObserver {
public:
  void onChange(const config::ChangeSet &, const config::RecordSet &) override {
  }
  void onSnapshot(const config::RecordSet &) override {}
};

// Returns the mean duration of Count calls, in microseconds.
template <typename Work> double microsPerCall(int Count, Work Call) {
  const base::SteadyClock Clock;
  const base::TimePoint Start = Clock.now();
  for (int Number = 0; Number < Count; ++Number)
    Call(Number);
  return static_cast<double>((Clock.now() - Start).count()) / Count;
}

std::size_t heapBytes() { return mallinfo2().uordblks; }

void report(const char *What, double Value, const char *Unit) {
  std::cout << What << ": " << Value << ' ' << Unit << '\n';
}

config::RecordChange record(int Number) {
  return {{"key", "key-" + std::to_string(Number)},
          R"({"schemaVersion":2,"customer":"customer-)" +
              std::to_string(Number % 8000) + R"(","salt":")" +
              std::string(32, 'a') + R"(","hash":")" + std::string(64, 'b') +
              "\"}"};
}

config::ChangeSet change(config::Revision Number) {
  return {Number,
          config::OperationId("operation-" + std::to_string(Number)),
          {record(static_cast<int>(Number) % FLAGS_records)}};
}

config::RecordSet makeRecords() {
  std::vector<config::RecordPtr> All;
  All.reserve(static_cast<std::size_t>(FLAGS_records));
  for (int Number = 0; Number < FLAGS_records; ++Number) {
    const config::RecordChange Change = record(Number);
    All.push_back(new config::Record(Change.Id_, *Change.Text_, 1));
  }
  return config::RecordSet(1, All);
}

void measureRecords() {
  const std::size_t Before = heapBytes();
  config::RecordSet Records = makeRecords();
  report("memory of the records",
         static_cast<double>(heapBytes() - Before) / (1 << 20), "MiB");
  report("applying a change",
         microsPerCall(
             FLAGS_repeats,
             [&](int) {
               Records = Records.apply(change(Records.revision() + 1)).value();
             }),
         "us");
  std::string Snapshot;
  report("writing a snapshot",
         microsPerCall(1,
                       [&](int) {
                         Snapshot =
                             config::ChangeCodec::encodeSnapshot(Records);
                       }) /
             1000,
         "ms");
  report("bytes of a snapshot",
         static_cast<double>(Snapshot.size()) / (1 << 20), "MiB");
  report("reading a snapshot",
         microsPerCall(
             1,
             [&](int) {
               Records = config::ChangeCodec::decodeSnapshot(Snapshot).value();
             }) /
             1000,
         "ms");
}

// Returns the approximate size of the reply in a binary encoding.
std::size_t bytesOf(const configagent::PullReply &Reply) {
  constexpr std::size_t Fixed = 40;
  constexpr std::size_t PerMember = 60;
  std::size_t Bytes =
      Fixed + PerMember * (Reply.Promises_.size() + Reply.Progress_.size());
  for (const config::ChangeSet &Set : Reply.Changes_) {
    Bytes += Fixed + Set.Operation_.text().size();
    for (const config::RecordChange &Change : Set.Changes_)
      Bytes += Fixed + Change.Id_.Kind_.size() + Change.Id_.Name_.size() +
               Change.Text_.value_or("").size();
  }
  return Bytes;
}

base::VmIdentity vm(int Number) {
  return {base::VmAddress("127.1." + std::to_string(Number / 2) + "." +
                          std::to_string(Number % 2)),
          Number + 1, base::ZoneName("zone-" + std::to_string(Number / 2))};
}

void measurePulls() {
  NullObserver Observer;
  trust::FreshnessTracker RelayFreshness({}), MemberFreshness({});
  configagent::ConfigAgent Relay(vm(0), {}, RelayFreshness, Observer);
  configagent::ConfigAgent Member(vm(1), {}, MemberFreshness, Observer);
  const config::RecordSet Records = makeRecords();
  Relay.install(Records);
  Member.install(Records);
  const base::SteadyClock Clock;
  configagent::PullReply Reply;
  report("idle pull, both sides",
         microsPerCall(FLAGS_repeats,
                       [&](int) {
                         const base::TimePoint Now = Clock.now();
                         Reply = Relay.answer(Member.pullRequest(Now), Now);
                         Member.applyPullReply(Reply, Now);
                       }),
         "us");
  report("bytes of an idle answer", static_cast<double>(bytesOf(Reply)), "B");
  std::size_t Bytes = 0;
  report("pull of one change, both sides",
         microsPerCall(FLAGS_repeats,
                       [&](int Number) {
                         const base::TimePoint Now = Clock.now();
                         configagent::PullReply Fresh;
                         Fresh.Changes_ = {change(2 + Number)};
                         Relay.applyPullReply(Fresh, Now);
                         Reply = Relay.answer(Member.pullRequest(Now), Now);
                         Member.applyPullReply(Reply, Now);
                         Bytes += bytesOf(Reply);
                       }),
         "us");
  report("bytes of an answer with one change",
         static_cast<double>(Bytes) / FLAGS_repeats, "B");
}

void measurePromises(int Members) {
  std::vector<base::VmIdentity> All;
  trust::PromiseTable Ledger;
  const base::SteadyClock Clock;
  for (int Number = 0; Number < Members; ++Number) {
    All.push_back(vm(Number));
    Ledger.recordPromise({vm(Number), 1, Clock.now()});
  }
  const trust::WriterRoster Roster(All);
  std::cout << Members << " writers, ";
  report("joining their promises",
         microsPerCall(FLAGS_repeats,
                       [&](int) {
                         if (!Ledger.evidence(Roster))
                           std::cerr << "The promises give no evidence.\n";
                       }),
         "us");
}

void measureKeys() {
  base::RandomEngine Random(1);
  trust::KeyTable Keys;
  std::vector<std::string> Texts;
  Texts.reserve(static_cast<std::size_t>(FLAGS_records));
  const std::size_t Before = heapBytes();
  for (int Number = 0; Number < FLAGS_records; ++Number) {
    trust::KeyGenerator::RandomBytes Bytes;
    std::generate(Bytes.begin(), Bytes.end(),
                  [&] { return static_cast<std::uint8_t>(Random()); });
    const trust::GeneratedKey Key = trust::KeyGenerator::generate(
        base::CustomerName("customer-" + std::to_string(Number % 8000)), Bytes);
    Keys.put(Key.Entry_);
    Texts.push_back(Key.Text_);
  }
  report("memory of the keys and their texts",
         static_cast<double>(heapBytes() - Before) / (1 << 20), "MiB");
  trust::FreshnessTracker Freshness({});
  const base::SteadyClock Clock;
  Freshness.addEvidence({0, Clock.now() + std::chrono::hours(1)});
  const trust::KeyAuthenticator Gate(Keys, Freshness);
  int Accepted = 0;
  const double Micros = microsPerCall(FLAGS_key_checks, [&](int) {
    const std::string &Text = Texts[Random.below(Texts.size())];
    Accepted += Gate.check(Text, {}, Clock.now()).isAccepted() ? 1 : 0;
  });
  report("key checks a second on one core", 1e6 / Micros, "");
  report("share accepted", static_cast<double>(Accepted) / FLAGS_key_checks,
         "");
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("Measures the cost of configuration and key checks.");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  std::cout << FLAGS_records << " records\n";
  measureRecords();
  measurePulls();
  measurePromises(12);
  measurePromises(60);
  measureKeys();
  return 0;
}
