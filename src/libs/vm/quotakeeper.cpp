#include "vm/quotakeeper.h"

#include "vm/quotaplantext.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace ebony::vm {

namespace {

using store::StoreStatus;
using telemetry::EventLine;

// Time between two looks at the demand; bounds the writes to the store.
constexpr base::Duration LookGap = std::chrono::milliseconds(500);

// Time after a start in which the other VMs' reports come in.
constexpr base::Duration Settling = std::chrono::milliseconds(1500);

// Silence after which a VM's shares go to the others.
constexpr base::Duration GoneAfter = std::chrono::seconds(5);

} // namespace

QuotaKeeper::QuotaKeeper(VmState &State)
    : State_(State), Planner_(GoneAfter), Store_(State.Platform_.MakeStore_()),
      Timer_(State.Context_), Started_(State.now()) {}

const char *QuotaKeeper::rowKey() { return "~quota"; }

void QuotaKeeper::takeRow(const store::Row &Row) {
  RowVersion_ = Row.IsRemoved_ ? 0 : Row.Version_;
  if (Row.IsRemoved_)
    return;
  const auto Plan = decodeQuotaPlan(Row.Value_);
  if (!Plan) {
    State_.log(
        EventLine("quota-plan-malformed").add("row_version", Row.Version_));
    return;
  }
  State_.Quota_.setPlan(*Plan, State_.now());
  State_.log(EventLine("quota-plan-taken").add("quota_plan", Plan->Version_));
}

void QuotaKeeper::start() {
  boost::asio::co_spawn(State_.Context_, run(), boost::asio::detached);
}

asynckit::awaitable<void> QuotaKeeper::run() {
  for (;;) {
    Timer_.expires_after(LookGap);
    asynckit::error_code Ignored; // The timer is never cancelled.
    co_await Timer_.async_wait(asynckit::into(Ignored));
    if (!isPlanner())
      continue;
    const auto Next =
        Planner_.planNext(State_.Quota_.plan(), *State_.Rules_,
                          State_.ownReport(), State_.Members_, State_.now());
    if (!Next)
      continue;
    const StoreStatus Status = co_await Store_->write(
        VmTableName, rowKey(), encodeQuotaPlan(*Next), RowVersion_);
    State_.log(EventLine("quota-plan-written")
                   .add("quota_plan", Next->Version_)
                   .add("status", store::toText(Status)));
  }
}

bool QuotaKeeper::isPlanner() const {
  const base::TimePoint Now = State_.now();
  if (!KnowsTable_ || !State_.Rules_ || State_.IsStopping_ ||
      Now - Started_ < Settling || !State_.Quota_.isPlanActive() ||
      !State_.KeyTrust_.isFresh(Now))
    return false;
  for (const traffic::MemberReport *One : State_.Members_.live(Now))
    if (One->Name_ < State_.Settings_.Name_ && !One->IsLeaving_)
      return false;
  return true;
}

} // namespace ebony::vm
