#ifndef EBONY_IDEMPOTENCY_ATTEMPTNUMBER_H
#define EBONY_IDEMPOTENCY_ATTEMPTNUMBER_H

#include "base/finding.h"

#include <cstdint>
#include <string_view>

namespace ebony::idempotency {

/// Which submission of a key this is, as the caller's Ebony-Attempt header
/// says.
class AttemptNumber {
public:
  /// An unmarked submission.
  AttemptNumber() = default;

  /// Submission \p Number of its key, counted from 1.
  explicit AttemptNumber(std::uint32_t Value) : Value_(Value) {}

  /// Reads a header's value; an empty one is an unmarked submission.
  static base::Checked<AttemptNumber> parse(std::string_view Text);

  /// 0 when unmarked.
  std::uint32_t value() const { return Value_; }

  /// True when no other submission of the key can exist.
  bool isFirst() const { return Value_ == 1 && !Resent_; }

  /// The mark of a copy that an entry VM sends again.
  AttemptNumber asResent() const;

  friend bool operator==(const AttemptNumber &,
                         const AttemptNumber &) = default;

private:
  std::uint32_t Value_ = 0;
  bool Resent_ = false;
};

} // namespace ebony::idempotency

#endif
