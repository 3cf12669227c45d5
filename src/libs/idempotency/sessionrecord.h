#ifndef EBONY_IDEMPOTENCY_SESSIONRECORD_H
#define EBONY_IDEMPOTENCY_SESSIONRECORD_H

#include "base/time.h"
#include "idempotency/sessionid.h"
#include "idempotency/submissionentry.h"

#include <boost/intrusive/list.hpp>

#include <cstdint>
#include <map>

namespace ebony::idempotency {

/// The stored submissions of one session, ordered by counter.
class SessionRecord
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
  /// \p FirstUseEnds is the time from which an unseen session with this id is
  /// not run.
  explicit SessionRecord(base::TimePoint FirstUseEnds, std::uint64_t Floor = 0)
      : FirstUseEnds_(FirstUseEnds), Floor_(Floor) {}

  /// Sets the id under which the record is stored; \p Id must outlive the
  /// record.
  void setId(const SessionId &Id) { Id_ = &Id; }
  const SessionId &id() const { return *Id_; }

  /// Returns the submission with \p Counter, or null.
  SubmissionEntry *find(std::uint64_t Counter);

  /// Returns true if a submission with \p Counter may have been evicted.
  bool isBelowFloor(std::uint64_t Counter) const { return Counter < Floor_; }
  std::uint64_t floor() const { return Floor_; }

  SubmissionEntry &insert(const EntrySnapshot &Snapshot);
  void erase(std::uint64_t Counter) { Entries_.erase(Counter); }
  bool isEmpty() const { return Entries_.empty(); }

  /// If there are \p MaxEntries or more submissions, evicts the finished one
  /// with the lowest counter and raises the floor above it. Returns false if
  /// there are too many and all of them are unfinished.
  bool ensureCapacity(std::size_t MaxEntries);

  /// Returns true if evicting the record cannot lead to a second run.
  bool isEvictable(base::TimePoint Now) const;

  const std::map<std::uint64_t, SubmissionEntry> &entries() const {
    return Entries_;
  }

private:
  const SessionId *Id_ = nullptr;
  base::TimePoint FirstUseEnds_;
  std::uint64_t Floor_;
  std::map<std::uint64_t, SubmissionEntry> Entries_;
};

} // namespace ebony::idempotency

#endif
