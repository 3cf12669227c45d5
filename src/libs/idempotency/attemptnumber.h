#ifndef EBONY_IDEMPOTENCY_ATTEMPTNUMBER_H
#define EBONY_IDEMPOTENCY_ATTEMPTNUMBER_H

#include "base/finding.h"

#include <cstdint>
#include <string_view>

namespace ebony::idempotency {

/// Number of a submission among those with the same key, from the caller's
/// Ebony-Attempt header.
class AttemptNumber {
public:
  /// Constructs the attempt of a submission without a number.
  AttemptNumber() = default;

  /// Constructs attempt \p Value of a key, counted from 1.
  explicit AttemptNumber(std::uint32_t Value) : Value_(Value) {}

  /// Parses the value of the header; an empty value means that the submission
  /// has no number.
  static base::Checked<AttemptNumber> parse(std::string_view Text);

  /// Returns the number, or 0 if the submission has none.
  std::uint32_t value() const { return Value_; }

  /// Returns true if no other submission of the key can exist.
  bool isFirst() const { return Value_ == 1 && !Resent_; }

  /// Returns this number for a copy that an entry VM resends.
  AttemptNumber asResent() const;

  friend bool operator==(const AttemptNumber &,
                         const AttemptNumber &) = default;

private:
  std::uint32_t Value_ = 0;
  bool Resent_ = false;
};

} // namespace ebony::idempotency

#endif
