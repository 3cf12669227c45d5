#ifndef EBONY_VM_CALLERMEMORY_H
#define EBONY_VM_CALLERMEMORY_H

#include "base/time.h"

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

namespace ebony::vm {

class CallerMemory;
using CallerMemoryPtr = boost::intrusive_ptr<CallerMemory>;

/// What a connection waits for its caller to do.
enum class CallerWait { Send, Receive };

/// Memory that one connection of a caller holds.
class MemoryShare
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
  /// \p Evict ends the connection in favour of another one.
  MemoryShare(CallerMemoryPtr Memory, std::function<void()> Evict);
  ~MemoryShare();

  std::size_t bytes() const { return Bytes_; }

  /// Sets how many bytes the connection holds. Returns false if there is no
  /// room for them, not even by evicting other connections; nothing changes
  /// then.
  bool resize(std::size_t Bytes, base::TimePoint Now);

  /// Sets how many bytes the connection holds, although there may be no room:
  /// they are held already.
  void resizeUnchecked(std::size_t Bytes, base::TimePoint Now);

  /// Records that the connection waits for its caller since \p Now. Only such
  /// connections are evicted.
  void beginWait(CallerWait Wait, base::TimePoint Now);
  void endWait(CallerWait Wait);
  /// Returns since when the connection has waited for its caller, if it does.
  std::optional<base::TimePoint> waitingSince() const;

private:
  friend class CallerMemory;

  std::optional<base::TimePoint> &startOf(CallerWait Wait);
  /// Returns the product of the bytes held and the time waited for the caller.
  double idleByteSeconds(base::TimePoint Now) const;

  CallerMemoryPtr Memory_;
  std::function<void()> Evict_;
  std::size_t Bytes_ = 0;
  std::optional<base::TimePoint> WaitsToSendSince_;
  std::optional<base::TimePoint> WaitsToReceiveSince_;
};

/// Divides the memory that a process spends on its callers among their
/// connections.
///
/// Load pattern: crowds of clients whose requests are legal one by one and
/// together exceed the memory of the machine. Most stop before the end of
/// their request, or do not read the response, and stay connected.
///
/// The connection is evicted that has held the most for the longest time while
/// it waited for its caller. Connections that hold little have a part of the
/// memory that the others cannot take.
class CallerMemory
    : public boost::intrusive_ref_counter<CallerMemory,
                                          boost::thread_unsafe_counter> {
public:
  /// Divides \p Capacity bytes.
  explicit CallerMemory(std::size_t Capacity) : Capacity_(Capacity) {}
  CallerMemory(const CallerMemory &) = delete;
  CallerMemory &operator=(const CallerMemory &) = delete;

  std::size_t capacity() const { return Capacity_; }
  std::size_t used() const { return Used_; }

  /// Number of connections that were evicted.
  std::int64_t evictions() const { return Evictions_; }
  /// Number of connections that found no room.
  std::int64_t refusals() const { return Refusals_; }

private:
  friend class MemoryShare;

  bool makeRoom(MemoryShare &Share, std::size_t Bytes, base::TimePoint Now);
  MemoryShare *findVictim(base::TimePoint Now);
  void evict(MemoryShare &Victim);

  const std::size_t Capacity_;
  std::size_t Used_ = 0;
  std::int64_t Evictions_ = 0;
  std::int64_t Refusals_ = 0;
  /// Shares of connections that wait for their callers.
  boost::intrusive::list<MemoryShare,
                         boost::intrusive::constant_time_size<false>>
      Waiting_;
};

} // namespace ebony::vm

#endif
