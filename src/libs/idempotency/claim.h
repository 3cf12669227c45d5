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

/// Row of the table service that names the only VM incarnation that may run the
/// submissions of a caller-made key.
class ClaimRow {
public:
  ClaimRow() = default;
  ClaimRow(SubmissionOwner Owner, std::uint64_t Number)
      : Owner_(std::move(Owner)), Number_(Number) {}

  /// Parses the form that text() returns; returns std::nullopt if \p Text is
  /// malformed.
  static std::optional<ClaimRow> parse(std::string_view Text);

  const SubmissionOwner &owner() const { return Owner_; }
  std::uint64_t number() const { return Number_; }

  /// Returns the form stored in the table service.
  std::string text() const;

  friend bool operator==(const ClaimRow &, const ClaimRow &) = default;

private:
  SubmissionOwner Owner_;
  std::uint64_t Number_ = 0;
};

/// A row to insert unless its key has one already.
struct Claim {
  std::string RowKey_;
  ClaimRow Row_;
  /// Time at which the submission is refused if the claim is still unresolved.
  base::TimePoint Deadline_;

  friend bool operator==(const Claim &, const Claim &) = default;
};

/// Row that the table service holds for \p RowKey_, or std::nullopt if that
/// could not be determined before the deadline.
struct ClaimResult {
  std::string RowKey_;
  std::optional<ClaimRow> Row_;

  friend bool operator==(const ClaimResult &, const ClaimResult &) = default;
};

/// Returns the row key for \p CallerText as a key of \p Customer.
std::string claimRowKey(const std::string &Customer,
                        const std::string &CallerText);

} // namespace ebony::idempotency

#endif
