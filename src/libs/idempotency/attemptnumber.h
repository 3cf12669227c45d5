#ifndef EBONY_IDEMPOTENCY_ATTEMPTNUMBER_H
#define EBONY_IDEMPOTENCY_ATTEMPTNUMBER_H

#include "base/finding.h"

#include <cstdint>
#include <string_view>

namespace ebony::idempotency {

/// Which submission of a key this is, as the caller's Ebony-Attempt header
/// says.
class AttemptMark {
public:
  /// An unmarked submission.
  AttemptMark() = default;

  /// Submission \p Number of its key, counted from 1.
  explicit AttemptMark(std::uint32_t Number) : Number_(Number) {}

  /// Reads a header's value; an empty one is an unmarked submission.
  static base::Checked<AttemptMark> parse(std::string_view Text);

  /// 0 when unmarked.
  std::uint32_t number() const { return Number_; }

  /// True when no other submission of the key can exist.
  bool isFirst() const { return Number_ == 1 && !Resent_; }

  /// The mark of a copy that an entry VM sends again.
  AttemptMark resent() const;

  friend bool operator==(const AttemptMark &, const AttemptMark &) = default;

private:
  std::uint32_t Number_ = 0;
  bool Resent_ = false;
};

} // namespace ebony::idempotency

#endif
