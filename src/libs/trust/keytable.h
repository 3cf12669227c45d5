#ifndef EBONY_TRUST_KEYTABLE_H
#define EBONY_TRUST_KEYTABLE_H

#include "trust/keycheckresult.h"
#include "trust/keyentry.h"

#include <array>
#include <mutex>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ebony::trust {

/// All keys in force, by id. Thread-safe.
class KeyTable {
public:
  /// Adds \p Entry, or replaces the key with the same id.
  void put(const KeyEntry &Entry);

  /// Revokes the key with \p Id.
  void erase(const std::string &Id);

  /// Replaces all keys by \p Entries.
  void replaceAll(const std::vector<KeyEntry> &Entries);

  std::size_t size() const;

  /// Checks the text of a key. \p RequestedCustomer is the customer that the
  /// request names, or empty if it names none.
  KeyCheckResult check(std::string_view Text,
                       const base::CustomerName &RequestedCustomer = {}) const;

private:
  static constexpr std::size_t ShardCount = 64;

  struct Shard {
    mutable std::mutex Lock_;
    std::unordered_map<std::string, KeyEntry> Entries_;
  };

  static std::size_t shardOf(std::string_view Id);
  std::optional<KeyEntry> find(std::string_view Id) const;

  std::array<Shard, ShardCount> Shards_;
};

} // namespace ebony::trust

#endif
