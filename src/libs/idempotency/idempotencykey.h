#ifndef EBONY_IDEMPOTENCY_IDEMPOTENCYKEY_H
#define EBONY_IDEMPOTENCY_IDEMPOTENCYKEY_H

#include "idempotency/requestsession.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace ebony::idempotency {

/// Value of an Idempotency-Key header.
class IdempotencyKey {
public:
  enum class Kind : std::uint8_t {
    None,      ///< The submission has no key.
    Session,   ///< A request session and a counter.
    CallerMade ///< Text that the caller chose.
  };

  IdempotencyKey() = default;
  IdempotencyKey(RequestSession Session, std::uint64_t Counter);

  /// Parses the value of the header; an empty value is a submission without a
  /// key.
  static base::Checked<IdempotencyKey> parse(std::string_view Text);

  Kind kind() const { return Kind_; }
  const RequestSession &session() const { return Session_; }
  std::uint64_t counter() const { return Counter_; }

  /// Returns the text that the caller chose; empty for the other kinds.
  const std::string &callerText() const { return CallerText_; }

  /// Returns the value for the header.
  std::string text() const;

  friend bool operator==(const IdempotencyKey &,
                         const IdempotencyKey &) = default;

private:
  explicit IdempotencyKey(std::string CallerText);

  Kind Kind_ = Kind::None;
  RequestSession Session_;
  std::uint64_t Counter_ = 0;
  std::string CallerText_;
};

} // namespace ebony::idempotency

#endif
