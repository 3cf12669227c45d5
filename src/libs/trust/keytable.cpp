#include "trust/keytable.h"

#include "base/hashing.h"
#include "trust/keyhash.h"
#include "trust/parsedkey.h"

namespace ebony::trust {

std::size_t KeyTable::shardOf(std::string_view Id) {
  return base::stableHash(Id) % ShardCount;
}

void KeyTable::put(const KeyEntry &Entry) {
  Shard &KeyShard = Shards_[shardOf(Entry.Id_)];
  const std::lock_guard<std::mutex> Guard(KeyShard.Lock_);
  KeyShard.Entries_.insert_or_assign(Entry.Id_, Entry);
}

void KeyTable::erase(const std::string &Id) {
  Shard &KeyShard = Shards_[shardOf(Id)];
  const std::lock_guard<std::mutex> Guard(KeyShard.Lock_);
  KeyShard.Entries_.erase(Id);
}

void KeyTable::replaceAll(const std::vector<KeyEntry> &Entries) {
  std::array<std::unordered_map<std::string, KeyEntry>, ShardCount> NewEntries;
  for (const KeyEntry &Entry : Entries)
    NewEntries[shardOf(Entry.Id_)].insert_or_assign(Entry.Id_, Entry);
  for (std::size_t Index = 0; Index < ShardCount; ++Index) {
    const std::lock_guard<std::mutex> Guard(Shards_[Index].Lock_);
    Shards_[Index].Entries_.swap(NewEntries[Index]);
  }
}

std::size_t KeyTable::size() const {
  std::size_t Count = 0;
  for (const Shard &KeyShard : Shards_) {
    const std::lock_guard<std::mutex> Guard(KeyShard.Lock_);
    Count += KeyShard.Entries_.size();
  }
  return Count;
}

std::optional<KeyEntry> KeyTable::find(std::string_view Id) const {
  const Shard &KeyShard = Shards_[shardOf(Id)];
  const std::lock_guard<std::mutex> Guard(KeyShard.Lock_);
  const auto Found = KeyShard.Entries_.find(std::string(Id));
  if (Found == KeyShard.Entries_.end())
    return std::nullopt;
  return Found->second;
}

KeyCheckResult
KeyTable::check(std::string_view Text,
                const base::CustomerName &RequestedCustomer) const {
  const auto Key = ParsedKey::parse(Text);
  if (!Key)
    return {KeyCheckStatus::Rejected, {}};
  const auto Entry = find(Key->Id_);
  if (!Entry)
    return {KeyCheckStatus::Rejected, {}};
  const std::string Hash =
      keyHash(Entry->Salt_, Entry->Customer_, Key->Secret_);
  if (!equalInConstantTime(Hash, Entry->Hash_))
    return {KeyCheckStatus::Rejected, {}};
  if (!RequestedCustomer.isEmpty() && RequestedCustomer != Entry->Customer_)
    return {KeyCheckStatus::WrongCustomer, {}};
  return {KeyCheckStatus::Accepted, Entry->Customer_};
}

} // namespace ebony::trust
