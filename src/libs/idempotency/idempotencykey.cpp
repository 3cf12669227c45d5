#include "idempotency/idempotencykey.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace ebony::idempotency {

namespace {

constexpr std::size_t MaxKeyBytes = 255;

base::Findings invalidKey(const char *Message) {
  return {{"Idempotency-Key", "", Message}};
}

bool isPrintable(char Symbol) { return Symbol > ' ' && Symbol <= '~'; }

} // namespace

IdempotencyKey::IdempotencyKey(RequestSession Session, std::uint64_t Counter)
    : Kind_(Kind::Session), Session_(std::move(Session)), Counter_(Counter) {}

IdempotencyKey::IdempotencyKey(std::string CallerText)
    : Kind_(Kind::CallerMade), CallerText_(std::move(CallerText)) {}

base::Checked<IdempotencyKey> IdempotencyKey::parse(std::string_view Text) {
  if (Text.empty())
    return IdempotencyKey();
  if (Text.size() > MaxKeyBytes ||
      !std::all_of(Text.begin(), Text.end(), isPrintable))
    return invalidKey("Send at most 255 printable characters without spaces.");
  if (!RequestSession::isSessionText(Text))
    return IdempotencyKey(std::string(Text));
  const std::size_t Dot = Text.rfind('.');
  if (Dot == std::string_view::npos || Text.find('-', Dot) != std::string::npos)
    return invalidKey("Append '.' and the submission's number to the session.");
  const auto Session = RequestSession::parse(Text.substr(0, Dot));
  if (!Session)
    return Session.error();
  std::uint64_t Counter = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data() + Dot + 1, End, Counter);
  if (Result.ec != std::errc() || Result.ptr != End)
    return invalidKey("Append a decimal number to the session.");
  return IdempotencyKey(Session.value(), Counter);
}

std::string IdempotencyKey::text() const {
  if (Kind_ == Kind::Session)
    return Session_.text() + "." + std::to_string(Counter_);
  return CallerText_;
}

} // namespace ebony::idempotency
