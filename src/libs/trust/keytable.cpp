#include "trust/keytable.h"

#include "base/hashing.h"
#include "trust/keyhash.h"
#include "trust/parsedkey.h"

namespace ebony::trust {

std::size_t KeyTable::shardOf(std::string_view Id) {
  return base::stableHash(Id) % ShardCount;
}

void KeyTable::put(const KeyEntry &Entry) {
  Shard &Part = Shards_[shardOf(Entry.Id_)];
  const std::lock_guard<std::mutex> Guard(Part.Lock_);
  Part.Entries_.insert_or_assign(Entry.Id_, Entry);
}

void KeyTable::erase(const std::string &Id) {
  Shard &Part = Shards_[shardOf(Id)];
  const std::lock_guard<std::mutex> Guard(Part.Lock_);
  Part.Entries_.erase(Id);
}

void KeyTable::replaceAll(const std::vector<KeyEntry> &Entries) {
  std::array<std::unordered_map<std::string, KeyEntry>, ShardCount> Fresh;
  for (const KeyEntry &One : Entries)
    Fresh[shardOf(One.Id_)].insert_or_assign(One.Id_, One);
  for (std::size_t Index = 0; Index < ShardCount; ++Index) {
    const std::lock_guard<std::mutex> Guard(Shards_[Index].Lock_);
    Shards_[Index].Entries_.swap(Fresh[Index]);
  }
}

std::size_t KeyTable::size() const {
  std::size_t Count = 0;
  for (const Shard &Part : Shards_) {
    const std::lock_guard<std::mutex> Guard(Part.Lock_);
    Count += Part.Entries_.size();
  }
  return Count;
}

std::optional<KeyEntry> KeyTable::find(std::string_view Id) const {
  const Shard &Part = Shards_[shardOf(Id)];
  const std::lock_guard<std::mutex> Guard(Part.Lock_);
  const auto Found = Part.Entries_.find(std::string(Id));
  if (Found == Part.Entries_.end())
    return std::nullopt;
  return Found->second;
}

KeyCheckResult KeyTable::check(std::string_view Text,
                               const base::CustomerName &Named) const {
  const auto Parts = ParsedKey::parse(Text);
  if (!Parts)
    return {KeyCheckStatus::Rejected, {}};
  const auto Entry = find(Parts->Id_);
  if (!Entry)
    return {KeyCheckStatus::Rejected, {}};
  const std::string Hash =
      keyHash(Entry->Salt_, Entry->Customer_, Parts->Secret_);
  if (!equalInConstantTime(Hash, Entry->Hash_))
    return {KeyCheckStatus::Rejected, {}};
  if (!Named.isEmpty() && Named != Entry->Customer_)
    return {KeyCheckStatus::WrongCustomer, {}};
  return {KeyCheckStatus::Accepted, Entry->Customer_};
}

} // namespace ebony::trust
