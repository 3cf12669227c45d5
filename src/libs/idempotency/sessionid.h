#ifndef EBONY_IDEMPOTENCY_SESSIONID_H
#define EBONY_IDEMPOTENCY_SESSIONID_H

#include "base/hashing.h"
#include "idempotency/submission.h"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace ebony::idempotency {

/// Identifies a session or caller-made key in the registry. The customer is
/// part of the id, so that customers never share submissions.
class SessionId {
public:
  SessionId() = default;
  SessionId(base::CustomerName Customer, std::uint64_t Number,
            std::uint64_t Nonce, std::string CallerText)
      : Customer_(std::move(Customer)), Number_(Number), Nonce_(Nonce),
        CallerText_(std::move(CallerText)) {}
  explicit SessionId(const Submission &Request)
      : SessionId(Request.customer(), Request.key().session().number(),
                  Request.key().session().nonce(), Request.key().callerText()) {
  }

  const base::CustomerName &customer() const { return Customer_; }
  std::uint64_t number() const { return Number_; }
  std::uint64_t nonce() const { return Nonce_; }
  const std::string &callerText() const { return CallerText_; }
  bool isCallerMade() const { return !CallerText_.empty(); }

  std::uint64_t hash() const {
    return base::stableHash(
        Customer_.text(),
        base::stableHash(CallerText_, base::mixBits(Number_) + Nonce_));
  }

  friend bool operator==(const SessionId &, const SessionId &) = default;

private:
  base::CustomerName Customer_;
  std::uint64_t Number_ = 0;
  std::uint64_t Nonce_ = 0;
  std::string CallerText_;
};

} // namespace ebony::idempotency

template <> struct std::hash<ebony::idempotency::SessionId> {
  std::size_t operator()(const ebony::idempotency::SessionId &Id) const {
    return Id.hash();
  }
};

#endif
