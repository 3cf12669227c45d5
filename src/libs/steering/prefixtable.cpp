#include "steering/prefixtable.h"

#include <algorithm>
#include <tuple>

namespace ebony::steering {

namespace {

constexpr std::uint32_t NoSite = UINT32_MAX;
constexpr unsigned IndexBits = 16;
constexpr unsigned IndexShift = 64 - IndexBits;
constexpr std::size_t IndexSize = std::size_t{1} << IndexBits;

std::tuple<std::uint64_t, std::uint8_t> sortKey(const ClientBlock &Block) {
  return {Block.Key_, Block.Length_};
}

} // namespace

void PrefixTable::append(std::uint64_t Key, std::uint8_t Length,
                         SiteNumber Site) {
  Keys_.push_back(Key);
  Lengths_.push_back(Length);
  Sites_.push_back(Site);
}

PrefixTable PrefixTable::withChanges(std::vector<BlockChange> Changes) const {
  std::stable_sort(Changes.begin(), Changes.end(),
                   [](const BlockChange &Left, const BlockChange &Right) {
                     return sortKey(Left.Block_) < sortKey(Right.Block_);
                   });
  PrefixTable Result;
  Result.Keys_.reserve(Keys_.size() + Changes.size());
  Result.Lengths_.reserve(Keys_.size() + Changes.size());
  Result.Sites_.reserve(Keys_.size() + Changes.size());
  std::size_t OldIndex = 0;
  for (std::size_t Index = 0; Index < Changes.size(); ++Index) {
    const BlockChange &Change = Changes[Index];
    const auto Position = sortKey(Change.Block_);
    if (Index + 1 < Changes.size() &&
        sortKey(Changes[Index + 1].Block_) == Position)
      continue;
    for (; OldIndex < Keys_.size() &&
           std::make_tuple(Keys_[OldIndex], Lengths_[OldIndex]) < Position;
         ++OldIndex)
      Result.append(Keys_[OldIndex], Lengths_[OldIndex], Sites_[OldIndex]);
    if (OldIndex < Keys_.size() &&
        std::make_tuple(Keys_[OldIndex], Lengths_[OldIndex]) == Position)
      ++OldIndex;
    if (Change.Site_)
      Result.append(Change.Block_.Key_, Change.Block_.Length_, *Change.Site_);
  }
  for (; OldIndex < Keys_.size(); ++OldIndex)
    Result.append(Keys_[OldIndex], Lengths_[OldIndex], Sites_[OldIndex]);
  Result.flatten();
  Result.indexRanges();
  return Result;
}

void PrefixTable::appendRange(std::uint64_t Start, std::uint32_t Site) {
  if (!RangeStarts_.empty() && RangeStarts_.back() == Start) {
    RangeSites_.back() = Site;
    return;
  }
  if (!RangeSites_.empty() && RangeSites_.back() == Site)
    return;
  RangeStarts_.push_back(Start);
  RangeSites_.push_back(Site);
}

// The prefixes are sorted by key and length, so that an outer prefix comes
// before the prefixes inside it. The stack holds the prefixes that contain the
// current key.
void PrefixTable::flatten() {
  struct OpenPrefix {
    std::uint64_t LastKey_;
    std::uint32_t Site_;
  };
  std::vector<OpenPrefix> Stack;
  RangeStarts_.reserve(2 * Keys_.size() + 1);
  RangeSites_.reserve(2 * Keys_.size() + 1);
  appendRange(0, NoSite);
  const auto CloseBefore = [&](bool ClosesAll, std::uint64_t Key) {
    while (!Stack.empty() && (ClosesAll || Stack.back().LastKey_ < Key)) {
      const std::uint64_t Last = Stack.back().LastKey_;
      Stack.pop_back();
      if (Last != UINT64_MAX)
        appendRange(Last + 1, Stack.empty() ? NoSite : Stack.back().Site_);
    }
  };
  for (std::size_t Index = 0; Index < Keys_.size(); ++Index) {
    CloseBefore(false, Keys_[Index]);
    appendRange(Keys_[Index], Sites_[Index]);
    Stack.push_back({.LastKey_ = ClientBlock{.Key_ = Keys_[Index],
                                             .Length_ = Lengths_[Index]}
                                     .lastKey(),
                     .Site_ = Sites_[Index]});
  }
  CloseBefore(true, 0);
  RangeStarts_.shrink_to_fit();
  RangeSites_.shrink_to_fit();
}

void PrefixTable::indexRanges() {
  Index_.assign(IndexSize + 1, 0);
  for (const std::uint64_t Start : RangeStarts_)
    ++Index_[(Start >> IndexShift) + 1];
  for (std::size_t Upper = 1; Upper <= IndexSize; ++Upper)
    Index_[Upper] += Index_[Upper - 1];
}

std::optional<SiteNumber> PrefixTable::find(std::uint64_t Key) const {
  if (RangeStarts_.empty())
    return {};
  const std::uint64_t Upper = Key >> IndexShift;
  const auto First = RangeStarts_.begin() + Index_[Upper];
  const auto Last = RangeStarts_.begin() + Index_[Upper + 1];
  const auto Next = std::upper_bound(First, Last, Key);
  const std::uint32_t Site =
      RangeSites_[static_cast<std::size_t>(Next - RangeStarts_.begin()) - 1];
  if (Site == NoSite)
    return {};
  return static_cast<SiteNumber>(Site);
}

std::size_t PrefixTable::memoryBytes() const {
  return Keys_.capacity() * sizeof(std::uint64_t) + Lengths_.capacity() +
         Sites_.capacity() * sizeof(SiteNumber) +
         RangeStarts_.capacity() * sizeof(std::uint64_t) +
         RangeSites_.capacity() * sizeof(std::uint32_t) +
         Index_.capacity() * sizeof(std::uint32_t);
}

} // namespace ebony::steering
