#include "fleet/fleetstate.h"

#include "records/configurationbuilder.h"
#include "records/recordparser.h"

#include <glog/logging.h>

namespace ebony::fleet {

namespace {

trust::KeyEntry toKeyEntry(const records::KeyRecord &Key) {
  return {Key.Name_, Key.Customer_, Key.SaltHex_, Key.HashHex_};
}

// A record that this binary cannot parse belongs to a newer schema. It stays in
// the record set for readers of that schema and is not applied here.
void parseAndPut(records::ConfigurationBuilder &Builder,
                 const config::RecordId &Id, const std::string &Text) {
  const auto Parsed = records::parseRecord(Id.Kind_ + " " + Id.Name_, Text);
  if (Parsed.has_error()) {
    LOG(ERROR)
        << "record is not applied on this VM; upgrade the VM or correct the "
           "record: "
        << base::toText(Parsed.error());
    return;
  }
  Builder.put(Parsed.value());
}

} // namespace

FleetState::FleetState(trust::FreshnessSettings Freshness,
                       std::size_t LoggedChanges)
    : Freshness_(Freshness), Replica_(LoggedChanges, *this),
      Configuration_(std::make_shared<const records::Configuration>()),
      Members_(std::make_shared<const MemberList>()) {}

void FleetState::apply(const std::vector<config::ChangeSet> &Changes) {
  withReplica([&](config::ConfigReplica &Replica) {
    for (const config::ChangeSet &Change : Changes)
      Replica.apply(Change);
    return true;
  });
}

void FleetState::install(const config::RecordSet &Records) {
  withReplica(
      [&](config::ConfigReplica &Replica) { return Replica.install(Records); });
}

void FleetState::setMembers(MemberList Members) {
  auto Next = std::make_shared<const MemberList>(std::move(Members));
  const std::lock_guard Guard(PublishedLock_);
  Members_ = std::move(Next);
}

std::shared_ptr<const records::Configuration>
FleetState::configuration() const {
  const std::lock_guard Guard(PublishedLock_);
  return Configuration_;
}

std::shared_ptr<const MemberList> FleetState::members() const {
  const std::lock_guard Guard(PublishedLock_);
  return Members_;
}

config::Revision FleetState::revision() const {
  return configuration()->revision();
}

void FleetState::onChange(const config::ChangeSet &Change,
                          const config::RecordSet &) {
  records::ConfigurationBuilder Builder(*configuration());
  for (const config::RecordChange &RecordChange : Change.Changes_) {
    const auto Kind = records::parseRecordKind(RecordChange.Id_.Kind_);
    if (!Kind)
      continue;
    if (RecordChange.isDeletion())
      Builder.remove(*Kind, RecordChange.Id_.Name_);
    else
      parseAndPut(Builder, RecordChange.Id_, *RecordChange.Text_);
  }
  const records::Configuration Next = Builder.build(Change.Revision_);
  for (const config::RecordChange &RecordChange : Change.Changes_) {
    if (records::parseRecordKind(RecordChange.Id_.Kind_) !=
        records::RecordKind::Key)
      continue;
    const auto *Key = Next.find<records::KeyRecord>(RecordChange.Id_.Name_);
    if (Key == nullptr)
      Keys_.erase(RecordChange.Id_.Name_);
    else
      Keys_.put(toKeyEntry(*Key));
  }
  publish(Next);
}

void FleetState::onSnapshot(const config::RecordSet &Records) {
  records::ConfigurationBuilder Builder{records::Configuration()};
  Records.visit([&](const config::Record &Record) {
    parseAndPut(Builder, Record.id(), Record.text());
  });
  const records::Configuration Next = Builder.build(Records.revision());
  std::vector<trust::KeyEntry> Keys;
  for (const auto &[Name, Key] : Next.all<records::KeyRecord>())
    Keys.push_back(toKeyEntry(Key));
  Keys_.replaceAll(Keys);
  publish(Next);
}

void FleetState::publish(const records::Configuration &Next) {
  auto Shared = std::make_shared<const records::Configuration>(Next);
  const std::lock_guard Guard(PublishedLock_);
  Configuration_ = std::move(Shared);
}

} // namespace ebony::fleet
