#ifndef EBONY_VM_QUOTAKEEPER_H
#define EBONY_VM_QUOTAKEEPER_H

#include "asynckit/awaiting.h"
#include "traffic/quotaplanner.h"
#include "vm/vmstate.h"

namespace ebony::vm {

/// Reads the quota plan from the store and, on the VM whose turn it is, writes
/// the next one.
class QuotaKeeper {
public:
  explicit QuotaKeeper(VmState &State);

  /// Takes the plan's row, or learns that there is none yet.
  void takeRow(const store::Row &Row);
  void noteTableRead() { KnowsTable_ = true; }

  /// Plans as long as the process lives.
  void start();

  /// Key of the plan's row in the VMs' table.
  static const char *rowKey();

private:
  asynckit::awaitable<void> run();
  bool isPlanner() const;

  VmState &State_;
  traffic::QuotaPlanner Planner_;
  std::unique_ptr<store::RowStore> Store_;
  boost::asio::steady_timer Timer_;
  base::TimePoint Started_;
  std::int64_t RowVersion_ = 0;
  bool KnowsTable_ = false;
};

} // namespace ebony::vm

#endif
