#ifndef EBONY_TESTS_IDEMPOTENCY_TABLEFAKE_H
#define EBONY_TESTS_IDEMPOTENCY_TABLEFAKE_H

#include "base/randomengine.h"
#include "idempotency/claimbatcher.h"
#include "libs/idempotency/eventqueue.h"
#include "libs/idempotency/faults.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ebony::tests {

/// Table service with faults: calls fail, lose their answer after taking
/// effect, or take effect after the answer was given up.
class TableFake {
public:
  struct Result {
    bool IsLost_ = false;
    std::vector<std::string> Conflicts_;
    std::optional<idempotency::ClaimRow> Row_;
  };
  using Reply = std::function<void(const Result &)>;

  TableFake(EventQueue &Events, base::RandomEngine Random, Faults Rates)
      : Events_(Events), Random_(Random), Rates_(Rates) {}

  void call(const idempotency::ClaimCall &Call, const Reply &Done);

private:
  Result apply(const idempotency::ClaimCall &Call);

  EventQueue &Events_;
  base::RandomEngine Random_;
  Faults Rates_;
  std::map<std::string, idempotency::ClaimRow> Rows_;
};

} // namespace ebony::tests

#endif
