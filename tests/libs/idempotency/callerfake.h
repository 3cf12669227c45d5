#ifndef EBONY_TESTS_IDEMPOTENCY_CALLERFAKE_H
#define EBONY_TESTS_IDEMPOTENCY_CALLERFAKE_H

#include "libs/idempotency/vmfake.h"

#include <string>
#include <vector>

namespace ebony::tests {

/// Counts of the outcomes that callers received, checked against the runs that
/// the upstreams counted.
struct Tally {
  int Operations_ = 0;
  int Complete_ = 0;
  int NotRun_ = 0;
  int Unknown_ = 0;
  int RunTwice_ = 0;
  int FalseNotRun_ = 0;
  int WrongAnswers_ = 0;

  Tally &operator+=(const Tally &Other);
};

/// Caller that times out, resends through other VMs, and resubmits old keys.
class CallerFake {
public:
  /// Number of caller kinds: sessions with and without attempt numbers,
  /// caller-made keys with and without attempt numbers, and no key.
  static constexpr int KindCount = 5;

  CallerFake(FleetFake &Fleet, int Kind, base::RandomEngine Random,
             Faults Rates)
      : Fleet_(Fleet), Kind_(Kind), Random_(Random), Rates_(Rates) {}

  void start();

  /// Returns the outcomes received, checked against the runs at the upstreams.
  Tally finalTally();

private:
  struct Operation {
    std::string Name_;
    idempotency::IdempotencyKey Key_;
    std::uint32_t Attempts_ = 0;
    int RepliesRead_ = 0;
    bool ToldNotRun_ = false;
    idempotency::Outcome LastOutcome_ = idempotency::Outcome::Unknown;
  };

  bool isNumbered() const { return Kind_ == 0 || Kind_ == 2; }
  void startNextOperation();
  idempotency::IdempotencyKey newKey(const std::string &Name);
  void submit(std::size_t Index);
  void receiveReply(std::size_t Index, const Reply &Answer);
  void handleTimeout(std::size_t Index, int RepliesBefore);

  FleetFake &Fleet_;
  int Kind_;
  base::RandomEngine Random_;
  Faults Rates_;
  idempotency::RequestSession Session_;
  std::uint64_t Counter_ = 0;
  bool NeedsLookUp_ = false;
  std::vector<Operation> Operations_;
  Tally Tally_;
};

} // namespace ebony::tests

#endif
