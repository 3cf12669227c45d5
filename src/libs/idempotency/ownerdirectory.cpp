#include "idempotency/ownerdirectory.h"

namespace ebony::idempotency {

namespace {

constexpr int MostSuccessions = 16;

} // namespace

void HolderDirectory::noteSuccessor(const MemoryHolder &Holder,
                                    const MemoryHolder &Successor) {
  Successors_.insert_or_assign(Holder, Successor);
}

void HolderDirectory::noteGone(const MemoryHolder &Holder) {
  Gone_.insert(Holder);
}

std::optional<MemoryHolder>
HolderDirectory::locate(const MemoryHolder &Holder) const {
  MemoryHolder Present = Holder;
  for (int Step = 0; Step < MostSuccessions; ++Step) {
    const auto Next = Successors_.find(Present);
    if (Next == Successors_.end())
      break;
    Present = Next->second;
  }
  if (Gone_.contains(Present))
    return std::nullopt;
  return Present;
}

} // namespace ebony::idempotency
