#ifndef EBONY_IDEMPOTENCY_CLAIMBATCHER_H
#define EBONY_IDEMPOTENCY_CLAIMBATCHER_H

#include "idempotency/claim.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace ebony::idempotency {

/// Limits of claim transactions.
struct ClaimBatchLimits {
  /// Longest time that a claim waits for others to share its transaction.
  base::Duration Window_ = std::chrono::milliseconds(100);
  /// Most claims in a transaction.
  std::size_t MaxClaims_ = 256;
  /// Most transactions in flight.
  std::size_t MaxInserts_ = 2;
  /// Most reads of single rows in flight.
  std::size_t MaxReads_ = 16;

  friend bool operator==(const ClaimBatchLimits &,
                         const ClaimBatchLimits &) = default;
};

/// One call to the table service: insert all rows or none, or read one row.
struct ClaimCall {
  enum class Kind : std::uint8_t { InsertAll, ReadRow };

  std::uint64_t Id_ = 0;
  Kind Kind_ = Kind::InsertAll;
  /// Holds exactly one claim when a row is read.
  std::vector<Claim> Claims_;

  friend bool operator==(const ClaimCall &, const ClaimCall &) = default;
};

/// Batches claims into conditional transactions and resolves each claim,
/// reading its row back where the result of a transaction is unclear.
class ClaimBatcher {
public:
  explicit ClaimBatcher(ClaimBatchLimits Limits) : Limits_(Limits) {}

  /// Queues \p NewClaim. takeResults() returns its result later.
  void add(const Claim &NewClaim, base::TimePoint Now);

  /// Returns the next call to make, or std::nullopt if there is none.
  std::optional<ClaimCall> nextCall(base::TimePoint Now);

  /// Returns the time at which nextCall() or takeResults() should be called
  /// next, or std::nullopt if no claim is pending.
  std::optional<base::TimePoint> nextWakeup() const;

  /// Records that the insertion \p Id committed.
  void recordCommitted(std::uint64_t Id);

  /// Records that the insertion \p Id had no effect, because rows exist for
  /// \p RowKeys.
  void recordConflicts(std::uint64_t Id,
                       const std::vector<std::string> &RowKeys,
                       base::TimePoint Now);

  /// Records that the read \p Id found \p Row, or no row.
  void recordRead(std::uint64_t Id, const std::optional<ClaimRow> &Row,
                  base::TimePoint Now);

  /// Records that call \p Id failed or that its answer was lost.
  void recordFailure(std::uint64_t Id, base::TimePoint Now);

  /// Returns and removes the results of the claims that were resolved, or
  /// passed their deadline, since the last call.
  std::vector<ClaimResult> takeResults(base::TimePoint Now);

private:
  struct PendingClaim {
    Claim Claim_;
    base::TimePoint Due_;
    /// The row must be read before another insertion is tried.
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
