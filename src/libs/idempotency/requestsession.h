#ifndef EBONY_IDEMPOTENCY_REQUESTSESSION_H
#define EBONY_IDEMPOTENCY_REQUESTSESSION_H

#include "base/finding.h"
#include "idempotency/submissionowner.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace ebony::idempotency {

/// Number of a time span in which an owner accepts first uses of sessions.
using SessionEpoch = std::uint32_t;

/// Session that a look-up hands to a caller. It names the only VM incarnation
/// that may run the caller's submissions.
class RequestSession {
public:
  RequestSession() = default;

  /// \p Number and \p Nonce are drawn for this session from a source that
  /// callers cannot predict.
  RequestSession(SubmissionOwner Owner, SessionEpoch Epoch,
                 std::uint64_t Number, std::uint64_t Nonce);

  /// Parses the form that text() returns; damaged text gives an error.
  static base::Checked<RequestSession> parse(std::string_view Text);

  /// Returns true if \p Text has the prefix of a session, damaged or not.
  static bool isSessionText(std::string_view Text);

  const SubmissionOwner &owner() const { return Owner_; }
  SessionEpoch epoch() const { return Epoch_; }
  std::uint64_t number() const { return Number_; }
  std::uint64_t nonce() const { return Nonce_; }

  /// Returns the form for headers: letters, digits, '.', ':' and '-'.
  std::string text() const;

  friend bool operator==(const RequestSession &,
                         const RequestSession &) = default;

private:
  std::string payload() const;

  SubmissionOwner Owner_;
  SessionEpoch Epoch_ = 0;
  std::uint64_t Number_ = 0;
  std::uint64_t Nonce_ = 0;
};

} // namespace ebony::idempotency

#endif
