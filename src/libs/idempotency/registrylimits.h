#ifndef EBONY_IDEMPOTENCY_REGISTRYLIMITS_H
#define EBONY_IDEMPOTENCY_REGISTRYLIMITS_H

#include "base/time.h"

#include <cstddef>

namespace ebony::idempotency {

/// Limits of one shard of the submission registry.
struct RegistryLimits {
  /// Most sessions and caller-made keys in the shard.
  std::size_t Sessions_ = 8192;
  /// Most submissions per session.
  std::size_t EntriesPerSession_ = 64;
  /// Largest answer that is stored, in bytes.
  std::size_t AnswerBytes_ = std::size_t{16} * 1024;
  /// Total size of the answers stored in the shard, in bytes.
  std::size_t StoredBytes_ = std::size_t{4} * 1024 * 1024;

  friend bool operator==(const RegistryLimits &,
                         const RegistryLimits &) = default;
};

} // namespace ebony::idempotency

#endif
