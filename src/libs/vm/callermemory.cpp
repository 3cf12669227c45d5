#include "vm/callermemory.h"

#include <algorithm>
#include <utility>

namespace ebony::vm {

namespace {

// Connections that hold no more than this may use all of the memory; others may
// use only the fraction below. Covers a request with the largest head.
constexpr std::size_t SmallShareBytes = 32UL * 1024;
constexpr std::size_t LargeSharesNumerator = 3;
constexpr std::size_t LargeSharesDenominator = 4;

// Added to the waiting time, so that of connections that have just begun to
// wait the largest is evicted.
constexpr base::Duration MinWait = std::chrono::milliseconds(1);

} // namespace

MemoryShare::MemoryShare(CallerMemoryPtr Memory, std::function<void()> Evict)
    : Memory_(std::move(Memory)), Evict_(std::move(Evict)) {}

MemoryShare::~MemoryShare() { Memory_->Used_ -= Bytes_; }

bool MemoryShare::resize(std::size_t Bytes, base::TimePoint Now) {
  if (Bytes > Bytes_ && !Memory_->makeRoom(*this, Bytes, Now)) {
    ++Memory_->Refusals_;
    return false;
  }
  Memory_->Used_ += Bytes - Bytes_;
  Bytes_ = Bytes;
  return true;
}

void MemoryShare::resizeUnchecked(std::size_t Bytes, base::TimePoint Now) {
  if (Bytes > Bytes_)
    Memory_->makeRoom(*this, Bytes, Now);
  Memory_->Used_ += Bytes - Bytes_;
  Bytes_ = Bytes;
}

std::optional<base::TimePoint> &MemoryShare::startOf(CallerWait Wait) {
  return Wait == CallerWait::Send ? WaitsToSendSince_ : WaitsToReceiveSince_;
}

void MemoryShare::beginWait(CallerWait Wait, base::TimePoint Now) {
  startOf(Wait) = Now;
  if (!is_linked())
    Memory_->Waiting_.push_back(*this);
}

void MemoryShare::endWait(CallerWait Wait) {
  startOf(Wait).reset();
  if (!WaitsToSendSince_ && !WaitsToReceiveSince_ && is_linked())
    unlink();
}

std::optional<base::TimePoint> MemoryShare::waitingSince() const {
  if (WaitsToSendSince_ && WaitsToReceiveSince_)
    return std::min(*WaitsToSendSince_, *WaitsToReceiveSince_);
  return WaitsToSendSince_ ? WaitsToSendSince_ : WaitsToReceiveSince_;
}

double MemoryShare::idleByteSeconds(base::TimePoint Now) const {
  const base::Duration Waited = Now - waitingSince().value_or(Now);
  return static_cast<double>(Bytes_) * base::toSeconds(Waited + MinWait);
}

bool CallerMemory::makeRoom(MemoryShare &Share, std::size_t Bytes,
                            base::TimePoint Now) {
  const std::size_t Limit =
      Bytes <= SmallShareBytes
          ? Capacity_
          : Capacity_ / LargeSharesDenominator * LargeSharesNumerator;
  while (Used_ - Share.Bytes_ + Bytes > Limit) {
    MemoryShare *Victim = findVictim(Now);
    // The connection that asks is the one that others would be evicted for.
    if (!Victim || Victim == &Share || Victim->Bytes_ == 0)
      return false;
    evict(*Victim);
  }
  return true;
}

MemoryShare *CallerMemory::findVictim(base::TimePoint Now) {
  const auto Largest =
      std::max_element(Waiting_.begin(), Waiting_.end(),
                       [Now](const MemoryShare &A, const MemoryShare &B) {
                         return A.idleByteSeconds(Now) < B.idleByteSeconds(Now);
                       });
  return Largest == Waiting_.end() ? nullptr : &*Largest;
}

// The connection frees its memory shortly after, when its coroutines run.
void CallerMemory::evict(MemoryShare &Victim) {
  ++Evictions_;
  Victim.unlink();
  Victim.WaitsToSendSince_.reset();
  Victim.WaitsToReceiveSince_.reset();
  Used_ -= Victim.Bytes_;
  Victim.Bytes_ = 0;
  Victim.Evict_();
}

} // namespace ebony::vm
