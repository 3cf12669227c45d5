#ifndef EBONY_IDEMPOTENCY_ATTEMPTMARK_H
#define EBONY_IDEMPOTENCY_ATTEMPTMARK_H

#include "base/finding.h"

#include <cstdint>
#include <string_view>

namespace ebony::idempotency {

/// Which submission of a key this is, as the caller's Ebony-Attempt header
/// says.
class AttemptMark {
public:
  /// Constructs the mark of a submission without a number.
  AttemptMark() = default;

  /// Constructs the mark of submission \p Number of its key, counted from 1.
  explicit AttemptMark(std::uint32_t Number) : Number_(Number) {}

  /// Parses the value of the header; an empty value means that the submission
  /// has no number.
  static base::Checked<AttemptMark> parse(std::string_view Text);

  /// Returns the number, or 0 if the submission has none.
  std::uint32_t number() const { return Number_; }

  /// Returns true if no other submission of the key can exist.
  bool isFirst() const { return Number_ == 1 && !Resent_; }

  /// Returns the mark of a copy that an entry VM resends.
  AttemptMark resent() const;

  friend bool operator==(const AttemptMark &, const AttemptMark &) = default;

private:
  std::uint32_t Number_ = 0;
  bool Resent_ = false;
};

} // namespace ebony::idempotency

#endif
