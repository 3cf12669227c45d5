#include "vm/quotaplanupdater.h"

#include "vm/quotaplancodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace ebony::vm {

namespace {

using store::StoreStatus;
using telemetry::EventLine;

// Time between two checks of the demand; bounds the writes to the store.
constexpr base::Duration CheckInterval = std::chrono::milliseconds(500);

// Delay after the start of the process in which the reports of the other VMs
// arrive.
constexpr base::Duration StartupDelay = std::chrono::milliseconds(1500);

// Time without a report after which a VM's shares are assigned to others.
constexpr base::Duration PeerTimeout = std::chrono::seconds(5);

} // namespace

QuotaPlanUpdater::QuotaPlanUpdater(VmState &State)
    : State_(State), Planner_(PeerTimeout),
      Store_(State.Platform_.MakeStore_()), Timer_(State.Context_),
      Started_(State.now()) {}

const char *QuotaPlanUpdater::rowKey() { return "~quota"; }

void QuotaPlanUpdater::applyRow(const store::Row &Row) {
  RowVersion_ = Row.IsRemoved_ ? 0 : Row.Version_;
  if (Row.IsRemoved_)
    return;
  const auto Plan = decodeQuotaPlan(Row.Value_);
  if (!Plan) {
    State_.log(
        EventLine("quota-plan-malformed").add("row_version", Row.Version_));
    return;
  }
  StoredPlanVersion_ = Plan->Version_;
  State_.Quota_.setPlan(*Plan, State_.now());
  State_.log(EventLine("quota-plan-taken").add("quota_plan", Plan->Version_));
}

void QuotaPlanUpdater::forgetRow() {
  RowVersion_ = 0;
  StoredPlanVersion_ = 0;
}

// A store that came back from an older copy holds an older division, or none.
// The one in force is written again: with two divisions in use, the shares of
// a customer's rate could add up to more than the whole.
std::optional<traffic::QuotaPlan> QuotaPlanUpdater::planNext() {
  const traffic::QuotaPlan &Plan = State_.Quota_.plan();
  if (StoredPlanVersion_ < Plan.Version_)
    return Plan;
  return Planner_.planNext(Plan, *State_.Rules_, State_.ownReport(),
                           State_.Members_, State_.now());
}

void QuotaPlanUpdater::start() {
  boost::asio::co_spawn(State_.Context_, runPlanning(), boost::asio::detached);
}

asynckit::awaitable<void> QuotaPlanUpdater::runPlanning() {
  for (;;) {
    Timer_.expires_after(CheckInterval);
    asynckit::error_code Ignored; // The timer is never cancelled.
    co_await Timer_.async_wait(asynckit::into(Ignored));
    if (!isPlanner())
      continue;
    const auto Next = planNext();
    if (!Next)
      continue;
    const StoreStatus Status = co_await Store_->write(
        VmTableName, rowKey(), encodeQuotaPlan(*Next), RowVersion_);
    State_.log(EventLine("quota-plan-written")
                   .add("quota_plan", Next->Version_)
                   .add("status", store::toText(Status)));
  }
}

bool QuotaPlanUpdater::isPlanner() const {
  const base::TimePoint Now = State_.now();
  if (!HasReadTable_ || !State_.Rules_ || State_.IsStopping_ ||
      Now - Started_ < StartupDelay || !State_.Quota_.isPlanActive() ||
      !State_.KeyTrust_.isFresh(Now))
    return false;
  for (const traffic::MemberReport *Report : State_.Members_.live(Now))
    if (Report->Name_ < State_.Settings_.Name_ && !Report->IsLeaving_)
      return false;
  return true;
}

} // namespace ebony::vm
