#ifndef EBONY_PEERS_TOKENMESSAGES_H
#define EBONY_PEERS_TOKENMESSAGES_H

#include "base/name.h"
#include "base/time.h"

#include <cstdint>

namespace ebony::peers {

/// A VM asks another one for one request of a customer out of its share.
struct TokenAsk {
  /// Number that the answer repeats.
  std::int64_t Id_ = 0;
  base::CustomerName Customer_;

  friend bool operator==(const TokenAsk &, const TokenAsk &) = default;
};

struct TokenAnswer {
  std::int64_t Id_ = 0;
  bool IsGranted_ = false;
  /// Time until the share may have something again; for a refusal only.
  base::Duration Pause_{};

  friend bool operator==(const TokenAnswer &, const TokenAnswer &) = default;
};

} // namespace ebony::peers

#endif
