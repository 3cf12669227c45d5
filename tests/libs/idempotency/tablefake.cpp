#include "libs/idempotency/tablefake.h"

namespace ebony::tests {

using namespace std::chrono_literals;

TableFake::Result TableFake::apply(const idempotency::ClaimCall &Call) {
  Result Applied;
  const bool IsRead = Call.Kind_ == idempotency::ClaimCall::Kind::ReadRow;
  for (const idempotency::Claim &Requested : Call.Claims_) {
    const auto Found = Rows_.find(Requested.RowKey_);
    if (Found == Rows_.end())
      continue;
    Applied.Row_ = Found->second;
    Applied.Conflicts_.push_back(Requested.RowKey_);
  }
  if (!IsRead && Applied.Conflicts_.empty())
    for (const idempotency::Claim &Requested : Call.Claims_)
      Rows_.emplace(Requested.RowKey_, Requested.Row_);
  return Applied;
}

void TableFake::call(const idempotency::ClaimCall &Call, const Reply &Done) {
  enum Fault { NoEffect, AnswerLost, LateEffect };
  constexpr int FaultKinds = 3;
  const bool Faulty = Random_.chance(Rates_.Table_);
  const int Kind = Faulty ? static_cast<int>(Random_.below(FaultKinds)) : -1;
  const base::Duration Delay = std::chrono::milliseconds(2 + Random_.below(10));
  Result Lost;
  Lost.IsLost_ = true;
  if (Kind == NoEffect) {
    Events_.after(Delay, [=] { Done(Lost); });
    return;
  }
  if (Kind == LateEffect) {
    Events_.after(Delay, [=] { Done(Lost); });
    Events_.after(Delay + 40ms, [=, this] { apply(Call); });
    return;
  }
  Events_.after(Delay, [=, this] {
    const Result Applied = apply(Call);
    Events_.after(3ms, [=] { Done(Kind == AnswerLost ? Lost : Applied); });
  });
}

} // namespace ebony::tests
