#ifndef EBONY_TESTS_IDEMPOTENCY_CALLERFAKE_H
#define EBONY_TESTS_IDEMPOTENCY_CALLERFAKE_H

#include "libs/idempotency/vmfake.h"

#include <string>
#include <vector>

namespace ebony::tests {

/// What callers were told, against the ledger.
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

/// A caller that times out, resends through other VMs, and resends old keys.
class CallerFake {
public:
  /// Marked and unmarked sessions, marked and unmarked keys of its own, no key.
  static constexpr int Kinds = 5;

  CallerFake(FleetFake &Fleet, int Kind, base::RandomEngine Random,
             Faults Rates)
      : Fleet_(Fleet), Kind_(Kind), Random_(Random), Rates_(Rates) {}

  void begin();

  /// Compares what was read with the ledger.
  Tally judge();

private:
  struct Operation {
    std::string Name_;
    idempotency::IdempotencyKey Key_;
    std::uint32_t Attempts_ = 0;
    int Read_ = 0;
    bool ToldNotRun_ = false;
    idempotency::Outcome Last_ = idempotency::Outcome::Unknown;
  };

  bool isNumbered() const { return Kind_ == 0 || Kind_ == 2; }
  void next();
  idempotency::IdempotencyKey newKey(const std::string &Name);
  void submit(std::size_t Index);
  void read(std::size_t Index, const Reply &Answer);
  void timedOut(std::size_t Index, int Seen);

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
