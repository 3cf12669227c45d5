#include "trust/writerroster.h"

#include "base/hashing.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <sstream>
#include <tuple>

namespace ebony::trust {

namespace {

// At the present fleet size an availability zone holds two members.
constexpr std::size_t MaxMissing = 2;

bool isOrderedBefore(const base::VmIdentity &Left,
                     const base::VmIdentity &Right) {
  return std::make_tuple(Left.zone().text(), Left.address().text(),
                         Left.incarnation()) <
         std::make_tuple(Right.zone().text(), Right.address().text(),
                         Right.incarnation());
}

// A malformed record counts as a member that never sends a promise, so that a
// missing promise is not taken as assurance that it made no commit.
base::VmIdentity toMember(const config::Record &Record) {
  try {
    Poco::JSON::Parser Parser;
    const auto Value =
        Parser.parse(Record.text()).extract<Poco::JSON::Object::Ptr>();
    return base::VmIdentity(
        base::VmAddress(Record.id().Name_),
        Value->getValue<base::Incarnation>("incarnation"),
        base::ZoneName(Value->getValue<std::string>("zone")));
  } catch (const Poco::Exception &) {
    return base::VmIdentity(base::VmAddress(Record.id().Name_), 0,
                            base::ZoneName());
  }
}

} // namespace

WriterRoster::WriterRoster(std::vector<base::VmIdentity> Members)
    : Members_(std::move(Members)) {
  std::sort(Members_.begin(), Members_.end(), isOrderedBefore);
  for (const base::VmIdentity &Member : Members_) {
    Digest_ = base::stableHash(Member.address().text(), Digest_);
    Digest_ = base::mixBits(Digest_ ^
                            static_cast<std::uint64_t>(Member.incarnation()));
  }
}

WriterRoster WriterRoster::fromRecords(const config::RecordSet &Records) {
  std::vector<base::VmIdentity> Members;
  for (const config::RecordPtr &Record : Records.ofKind(RecordKind))
    Members.push_back(toMember(*Record));
  return WriterRoster(std::move(Members));
}

config::RecordChange WriterRoster::add(const base::VmIdentity &Member) {
  Poco::JSON::Object Value;
  Value.set("incarnation", Member.incarnation());
  Value.set("zone", Member.zone().text());
  std::ostringstream Out;
  Value.stringify(Out);
  return {{RecordKind, Member.address().text()}, Out.str()};
}

config::RecordChange WriterRoster::remove(const base::VmAddress &Address) {
  return {{RecordKind, Address.text()}, std::nullopt};
}

bool WriterRoster::isChangedBy(const config::ChangeSet &Change) {
  return std::any_of(Change.Changes_.begin(), Change.Changes_.end(),
                     [](const config::RecordChange &Changed) {
                       return Changed.Id_.Kind_ == RecordKind;
                     });
}

bool WriterRoster::contains(const base::VmIdentity &Member) const {
  return std::find(Members_.begin(), Members_.end(), Member) != Members_.end();
}

// A commit is known to maxMissingPromises() + 1 members, and evidence needs the
// promises of all but maxMissingPromises() members, so at least one of them
// knows of the commit. Every process must derive the same number, so it depends
// on the roster alone. A commit never needs more than a majority.
std::size_t WriterRoster::maxMissingPromises() const {
  if (Members_.empty())
    return 0;
  return std::min(MaxMissing, (Members_.size() - 1) / 2);
}

std::size_t
WriterRoster::requiredNotifications(const base::VmIdentity &Writer) const {
  if (Members_.empty())
    return 0;
  return maxMissingPromises() + (contains(Writer) ? 0 : 1);
}

} // namespace ebony::trust
