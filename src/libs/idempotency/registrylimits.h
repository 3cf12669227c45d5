#ifndef EBONY_IDEMPOTENCY_REGISTRYLIMITS_H
#define EBONY_IDEMPOTENCY_REGISTRYLIMITS_H

#include "base/time.h"

#include <cstddef>

namespace ebony::idempotency {

/// Bounds of one shard of the submission memory.
struct RegistryLimits {
  /// Sessions and caller-made keys that the shard remembers.
  std::size_t Sessions_ = 8192;
  /// Submissions remembered per session.
  std::size_t EntriesPerSession_ = 64;
  /// Largest answer kept, in bytes.
  std::size_t AnswerBytes_ = std::size_t{16} * 1024;
  /// All answers kept by the shard, in bytes.
  std::size_t StoredBytes_ = std::size_t{4} * 1024 * 1024;

  friend bool operator==(const RegistryLimits &,
                         const RegistryLimits &) = default;
};

} // namespace ebony::idempotency

#endif
