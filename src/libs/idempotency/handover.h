#ifndef EBONY_IDEMPOTENCY_HANDOVER_H
#define EBONY_IDEMPOTENCY_HANDOVER_H

#include "idempotency/entrysnapshot.h"
#include "idempotency/requestsession.h"
#include "idempotency/sessionid.h"
#include "idempotency/submissionowner.h"

#include <cstdint>
#include <vector>

namespace ebony::idempotency {

/// What is remembered of one session or caller-made key.
struct SessionSnapshot {
  SessionId Id_;
  std::uint64_t Floor_ = 0;
  std::vector<EntrySnapshot> Entries_;

  friend bool operator==(const SessionSnapshot &,
                         const SessionSnapshot &) = default;
};

/// A holder whose submissions the sender remembers.
struct OwnerSnapshot {
  SubmissionOwner Owner_;
  SessionEpoch LatestEpoch_ = 0;
  /// False once the sender may have forgotten sessions of every epoch.
  bool AcceptsFirstUses_ = true;

  friend bool operator==(const OwnerSnapshot &,
                         const OwnerSnapshot &) = default;
};

/// Whole memory of a VM that stops, for the one incarnation that it names.
struct Handover {
  SubmissionOwner From_;
  SubmissionOwner To_;
  std::vector<OwnerSnapshot> Owners_;
  std::vector<SessionSnapshot> Sessions_;

  friend bool operator==(const Handover &, const Handover &) = default;
};

/// What the named successor says.
enum class HandoverReply : std::uint8_t {
  Accepted,     ///< It holds the memory, now or since an earlier copy.
  NotAddressee, ///< It is another incarnation than the one named.
  Stopping      ///< It is stopping and takes nothing over.
};

/// End of a submission that ran at the predecessor during its hand-over.
struct CompletionNotice {
  SubmissionOwner From_;
  SessionId Id_;
  EntrySnapshot Entry_;

  friend bool operator==(const CompletionNotice &,
                         const CompletionNotice &) = default;
};

} // namespace ebony::idempotency

#endif
