#ifndef EBONY_VM_QUOTAPLANUPDATER_H
#define EBONY_VM_QUOTAPLANUPDATER_H

#include "asynckit/awaiting.h"
#include "traffic/quotaplanner.h"
#include "vm/vmstate.h"

namespace ebony::vm {

/// Applies the quota plan from the store and, on the VM that acts as planner,
/// writes the next one.
class QuotaPlanUpdater {
public:
  explicit QuotaPlanUpdater(VmState &State);

  /// Applies the plan's row; a removed row means that there is no plan yet.
  void applyRow(const store::Row &Row);
  /// Records that the table's whole content follows, which may lack the row.
  void forgetRow();
  /// Records that the VMs' table has been read; no plan is written before that.
  void markTableRead() { HasReadTable_ = true; }

  /// Starts planning; runs until the process ends.
  void start();

  /// Returns the key of the plan's row in the VMs' table.
  static const char *rowKey();

private:
  asynckit::awaitable<void> runPlanning();
  /// Returns the plan to be written, if any.
  std::optional<traffic::QuotaPlan> planNext();
  bool isPlanner() const;

  VmState &State_;
  traffic::QuotaPlanner Planner_;
  std::unique_ptr<store::RowStore> Store_;
  boost::asio::steady_timer Timer_;
  base::TimePoint Started_;
  std::int64_t RowVersion_ = 0;
  /// Version of the plan in the store.
  std::int64_t StoredPlanVersion_ = 0;
  bool HasReadTable_ = false;
};

} // namespace ebony::vm

#endif
