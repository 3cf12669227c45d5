#ifndef EBONY_IDEMPOTENCY_HANDOVER_H
#define EBONY_IDEMPOTENCY_HANDOVER_H

#include "idempotency/entrysnapshot.h"
#include "idempotency/requestsession.h"
#include "idempotency/sessionid.h"
#include "idempotency/submissionowner.h"

#include <cstdint>
#include <vector>

namespace ebony::idempotency {

/// Stored state of one session or caller-made key.
struct SessionSnapshot {
  SessionId Id_;
  std::uint64_t Floor_ = 0;
  std::vector<EntrySnapshot> Entries_;

  friend bool operator==(const SessionSnapshot &,
                         const SessionSnapshot &) = default;
};

/// An owner whose submissions are part of a handover.
struct OwnerSnapshot {
  SubmissionOwner Owner_;
  SessionEpoch LatestEpoch_ = 0;
  /// False once the sender may have evicted sessions of every epoch.
  bool AcceptsFirstUses_ = true;

  friend bool operator==(const OwnerSnapshot &,
                         const OwnerSnapshot &) = default;
};

/// Complete registry of a stopping VM, addressed to one incarnation of a VM.
struct Handover {
  SubmissionOwner From_;
  SubmissionOwner To_;
  std::vector<OwnerSnapshot> Owners_;
  std::vector<SessionSnapshot> Sessions_;

  friend bool operator==(const Handover &, const Handover &) = default;
};

/// Reply of a VM that receives a handover.
enum class HandoverReply : std::uint8_t {
  Accepted,     ///< It holds the registry, from this copy or an earlier one.
  NotAddressee, ///< It is not the incarnation that is addressed.
  Stopping      ///< It is stopping and accepts no handover.
};

/// Result of a submission that was running at the predecessor during its
/// handover.
struct CompletionNotice {
  SubmissionOwner From_;
  SessionId Id_;
  EntrySnapshot Entry_;

  friend bool operator==(const CompletionNotice &,
                         const CompletionNotice &) = default;
};

} // namespace ebony::idempotency

#endif
