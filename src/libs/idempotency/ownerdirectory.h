#ifndef EBONY_IDEMPOTENCY_OWNERDIRECTORY_H
#define EBONY_IDEMPOTENCY_OWNERDIRECTORY_H

#include "idempotency/submissionowner.h"

#include <map>
#include <optional>
#include <set>

namespace ebony::idempotency {

/// What a VM knows of where memories are; it may lag, as only holders decide.
class HolderDirectory {
public:
  /// Notes that \p Successor accepted the memory of \p Holder.
  void noteSuccessor(const MemoryHolder &Holder, const MemoryHolder &Successor);

  /// Notes that \p Holder has ended.
  void noteGone(const MemoryHolder &Holder);

  /// Where a submission for \p Holder goes; none when its memory is gone.
  std::optional<MemoryHolder> locate(const MemoryHolder &Holder) const;

  friend bool operator==(const HolderDirectory &,
                         const HolderDirectory &) = default;

private:
  std::map<MemoryHolder, MemoryHolder> Successors_;
  std::set<MemoryHolder> Gone_;
};

} // namespace ebony::idempotency

#endif
