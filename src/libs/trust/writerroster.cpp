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

// One availability zone of today's size holds two members.
constexpr std::size_t MostMissing = 2;

bool comesBefore(const base::VmIdentity &Left, const base::VmIdentity &Right) {
  return std::make_tuple(Left.zone().text(), Left.address().text(),
                         Left.incarnation()) <
         std::make_tuple(Right.zone().text(), Right.address().text(),
                         Right.incarnation());
}

// A record that can't be read stands for a writer that never promises, so that
// nobody takes its silence for consent.
base::VmIdentity toMember(const config::Record &One) {
  try {
    Poco::JSON::Parser Parser;
    const auto Value =
        Parser.parse(One.text()).extract<Poco::JSON::Object::Ptr>();
    return base::VmIdentity(
        base::VmAddress(One.id().Name_),
        Value->getValue<base::Incarnation>("incarnation"),
        base::ZoneName(Value->getValue<std::string>("zone")));
  } catch (const Poco::Exception &) {
    return base::VmIdentity(base::VmAddress(One.id().Name_), 0,
                            base::ZoneName());
  }
}

} // namespace

WriterRoster::WriterRoster(std::vector<base::VmIdentity> Members)
    : Members_(std::move(Members)) {
  std::sort(Members_.begin(), Members_.end(), comesBefore);
  for (const base::VmIdentity &One : Members_) {
    Digest_ = base::stableHash(One.address().text(), Digest_);
    Digest_ =
        base::mixBits(Digest_ ^ static_cast<std::uint64_t>(One.incarnation()));
  }
}

WriterRoster WriterRoster::fromRecords(const config::RecordSet &Records) {
  std::vector<base::VmIdentity> Members;
  for (const config::RecordPtr &One : Records.ofKind(RecordKind))
    Members.push_back(toMember(*One));
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
                     [](const config::RecordChange &One) {
                       return One.Id_.Kind_ == RecordKind;
                     });
}

bool WriterRoster::contains(const base::VmIdentity &One) const {
  return std::find(Members_.begin(), Members_.end(), One) != Members_.end();
}

// A commit is known to maxMissingPromises() + 1 members and a holder hears all
// but maxMissingPromises(), so it hears one of them. Every process must derive
// the same number, so it follows from the roster alone. A commit never needs
// more than a majority.
std::size_t WriterRoster::maxMissingPromises() const {
  if (Members_.empty())
    return 0;
  return std::min(MostMissing, (Members_.size() - 1) / 2);
}

std::size_t
WriterRoster::requiredNotifications(const base::VmIdentity &Writer) const {
  if (Members_.empty())
    return 0;
  return maxMissingPromises() + (contains(Writer) ? 0 : 1);
}

} // namespace ebony::trust
