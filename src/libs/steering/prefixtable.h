#ifndef EBONY_STEERING_PREFIXTABLE_H
#define EBONY_STEERING_PREFIXTABLE_H

#include "steering/blockchange.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace ebony::steering {

/// Prefixes of one address family in dense sorted arrays, flattened into
/// disjoint ranges for the longest-prefix match. Immutable.
class PrefixTable {
public:
  PrefixTable() = default;

  /// Returns this table with \p Changes of its family applied. The last change
  /// of a block wins.
  PrefixTable withChanges(std::vector<BlockChange> Changes) const;

  /// Returns the site of the longest prefix that contains \p Key, or
  /// std::nullopt.
  std::optional<SiteNumber> find(std::uint64_t Key) const;

  std::size_t size() const { return Keys_.size(); }

  /// Returns the size of the arrays in bytes.
  std::size_t memoryBytes() const;

private:
  void append(std::uint64_t Key, std::uint8_t Length, SiteNumber Site);
  void flatten();
  void appendRange(std::uint64_t Start, std::uint32_t Site);
  void indexRanges();

  std::vector<std::uint64_t> Keys_;
  std::vector<std::uint8_t> Lengths_;
  std::vector<SiteNumber> Sites_;
  std::vector<std::uint64_t> RangeStarts_;
  std::vector<std::uint32_t> RangeSites_;
  std::vector<std::uint32_t> Index_; ///< first range that starts at or after
                                     ///< each value of a key's upper 16 bits
};

} // namespace ebony::steering

#endif
