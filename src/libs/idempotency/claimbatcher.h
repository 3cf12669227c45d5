#ifndef EBONY_IDEMPOTENCY_CLAIMBATCHER_H
#define EBONY_IDEMPOTENCY_CLAIMBATCHER_H

#include "idempotency/claim.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace ebony::idempotency {

/// Bounds of claim transactions.
struct ClaimBatchLimits {
  /// Longest time that a claim waits for others.
  base::Duration Window_ = std::chrono::milliseconds(100);
  /// Claims per transaction.
  std::size_t MaxClaims_ = 256;
  /// Transactions under way at once.
  std::size_t MaxInserts_ = 2;
  /// Reads of single rows under way at once.
  std::size_t MaxReads_ = 16;

  friend bool operator==(const ClaimBatchLimits &,
                         const ClaimBatchLimits &) = default;
};

/// One call to the table service: insert all rows or none, or read one row.
struct ClaimCall {
  enum class Kind : std::uint8_t { InsertAll, ReadRow };

  std::uint64_t Id_ = 0;
  Kind Kind_ = Kind::InsertAll;
  /// One claim when a row is read.
  std::vector<Claim> Claims_;

  friend bool operator==(const ClaimCall &, const ClaimCall &) = default;
};

/// Joins claims into conditional transactions and settles each by reading back
/// what is unclear.
class ClaimBatcher {
public:
  explicit ClaimBatcher(ClaimBatchLimits Limits) : Limits_(Limits) {}

  /// Queues \p One; its result follows by takeResults().
  void add(const Claim &One, base::TimePoint Now);

  /// The next call to make, if any.
  std::optional<ClaimCall> nextCall(base::TimePoint Now);

  /// Time of the next change that comes by itself, if any.
  std::optional<base::TimePoint> nextWakeup() const;

  /// The insertion \p Id committed.
  void recordCommitted(std::uint64_t Id);

  /// The insertion \p Id took no effect, as rows stand for \p RowKeys.
  void recordConflicts(std::uint64_t Id,
                       const std::vector<std::string> &RowKeys,
                       base::TimePoint Now);

  /// The read \p Id found \p Row, or no row.
  void recordRead(std::uint64_t Id, const std::optional<ClaimRow> &Row,
                  base::TimePoint Now);

  /// The answer to call \p Id was lost, or said that it failed.
  void recordFailure(std::uint64_t Id, base::TimePoint Now);

  /// What was settled, or passed its deadline, since the last call.
  std::vector<ClaimResult> takeResults(base::TimePoint Now);

private:
  struct PendingClaim {
    Claim Claim_;
    base::TimePoint Due_;
    /// The row is read before another insertion.
    bool MustRead_ = false;
  };

  std::optional<ClaimCall> nextRead(base::TimePoint Now);
  std::optional<ClaimCall> nextInsert(base::TimePoint Now);
  ClaimCall startCall(ClaimCall::Kind Kind, std::vector<Claim> Claims);
  ClaimCall finishCall(std::uint64_t Id);
  bool isAtLimit(ClaimCall::Kind Kind) const;
  void expireClaims(base::TimePoint Now);

  ClaimBatchLimits Limits_;
  std::uint64_t NextId_ = 1;
  std::vector<PendingClaim> Pending_;
  std::map<std::uint64_t, ClaimCall> InFlight_;
  std::vector<ClaimResult> Results_;
};

} // namespace ebony::idempotency

#endif
