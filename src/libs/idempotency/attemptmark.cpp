#include "idempotency/attemptmark.h"

#include <charconv>

namespace ebony::idempotency {

base::Checked<AttemptMark> AttemptMark::parse(std::string_view Text) {
  if (Text.empty())
    return AttemptMark();
  std::uint32_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Number);
  if (Result.ec != std::errc() || Result.ptr != End || Number == 0)
    return base::Findings{{"Ebony-Attempt", "",
                           "Count the submissions of a key from 1, or leave "
                           "the header out."}};
  return AttemptMark(Number);
}

AttemptMark AttemptMark::resent() const {
  AttemptMark Copy = *this;
  Copy.Resent_ = true;
  return Copy;
}

} // namespace ebony::idempotency
