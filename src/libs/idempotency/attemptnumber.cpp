#include "idempotency/attemptnumber.h"

#include <charconv>

namespace ebony::idempotency {

base::Checked<AttemptNumber> AttemptNumber::parse(std::string_view Text) {
  if (Text.empty())
    return AttemptNumber();
  std::uint32_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Value);
  if (Result.ec != std::errc() || Result.ptr != End || Value == 0)
    return base::Findings{{"Ebony-Attempt", "",
                           "Count the submissions of a key from 1, or leave "
                           "the header out."}};
  return AttemptNumber(Value);
}

AttemptNumber AttemptNumber::asResent() const {
  AttemptNumber Copy = *this;
  Copy.Resent_ = true;
  return Copy;
}

} // namespace ebony::idempotency
