#ifndef EBONY_IDEMPOTENCY_CLAIM_H
#define EBONY_IDEMPOTENCY_CLAIM_H

#include "base/time.h"
#include "idempotency/submissionowner.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace ebony::idempotency {

/// Row of the table service that says who alone may run a caller-made key.
class ClaimRow {
public:
  ClaimRow() = default;
  ClaimRow(SubmissionOwner Owner, std::uint64_t Number)
      : Owner_(std::move(Owner)), Number_(Number) {}

  /// Reads what text() wrote.
  static std::optional<ClaimRow> parse(std::string_view Text);

  const SubmissionOwner &owner() const { return Owner_; }
  std::uint64_t number() const { return Number_; }

  /// Form in the table service.
  std::string text() const;

  friend bool operator==(const ClaimRow &, const ClaimRow &) = default;

private:
  SubmissionOwner Owner_;
  std::uint64_t Number_ = 0;
};

/// A row to insert where there is none yet.
struct Claim {
  std::string RowKey_;
  ClaimRow Row_;
  /// Time at which the submission is refused if the claim is not settled.
  base::TimePoint Deadline_;

  friend bool operator==(const Claim &, const Claim &) = default;
};

/// Row that stands for \p RowKey_ in the end; none if that was not settled.
struct ClaimResult {
  std::string RowKey_;
  std::optional<ClaimRow> Row_;

  friend bool operator==(const ClaimResult &, const ClaimResult &) = default;
};

/// Row key of \p CallerText as a key of \p Customer.
std::string claimRowKey(const std::string &Customer,
                        const std::string &CallerText);

} // namespace ebony::idempotency

#endif
