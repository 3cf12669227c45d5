#ifndef EBONY_PEERS_TOKENMESSAGES_H
#define EBONY_PEERS_TOKENMESSAGES_H

#include "base/name.h"
#include "base/time.h"

#include <cstdint>

namespace ebony::peers {

/// Asks another VM to admit one request of a customer from its share of the
/// customer's quota.
struct TokenAsk {
  /// Identifier that the answer repeats.
  std::int64_t Id_ = 0;
  base::CustomerName Customer_;

  friend bool operator==(const TokenAsk &, const TokenAsk &) = default;
};

struct TokenAnswer {
  std::int64_t Id_ = 0;
  bool IsGranted_ = false;
  /// Time until the share may have tokens again; set for a refusal only.
  base::Duration Pause_{};

  friend bool operator==(const TokenAnswer &, const TokenAnswer &) = default;
};

} // namespace ebony::peers

#endif
