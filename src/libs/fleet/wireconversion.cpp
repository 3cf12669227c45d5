#include "fleet/wireconversion.h"

namespace ebony::fleet {

wire::VmIdentity toWire(const base::VmIdentity &Vm) {
  wire::VmIdentity Result;
  Result.address = Vm.address().text();
  Result.incarnation = Vm.incarnation();
  Result.zone = Vm.zone().text();
  return Result;
}

base::VmIdentity fromWire(const wire::VmIdentity &Vm) {
  return {base::VmAddress(Vm.address), Vm.incarnation, base::ZoneName(Vm.zone)};
}

wire::ChangeSet toWire(const config::ChangeSet &Change) {
  wire::ChangeSet Result;
  Result.revision = Change.Revision_;
  Result.operationId = Change.Operation_.text();
  for (const config::RecordChange &One : Change.Changes_) {
    wire::RecordChange Record;
    Record.kind = One.Id_.Kind_;
    Record.name = One.Id_.Name_;
    Record.json = One.Text_.value_or("");
    Record.isDeletion = One.isDeletion();
    Result.changes.push_back(Record);
  }
  return Result;
}

config::ChangeSet fromWire(const wire::ChangeSet &Change) {
  config::ChangeSet Result;
  Result.Revision_ = Change.revision;
  Result.Operation_ = config::OperationId(Change.operationId);
  for (const wire::RecordChange &One : Change.changes) {
    config::RecordChange Record{{One.kind, One.name}, std::nullopt};
    if (!One.isDeletion)
      Record.Text_ = One.json;
    Result.Changes_.push_back(Record);
  }
  return Result;
}

wire::Snapshot toWire(const config::RecordSet &Records) {
  wire::Snapshot Result;
  Result.revision = Records.revision();
  Records.visit([&](const config::Record &One) {
    wire::RecordChange Record;
    Record.kind = One.id().Kind_;
    Record.name = One.id().Name_;
    Record.json = One.text();
    Record.since = One.lastChangedRevision();
    Result.records.push_back(Record);
  });
  return Result;
}

config::RecordSet fromWire(const wire::Snapshot &Snapshot) {
  std::vector<config::RecordPtr> Records;
  Records.reserve(Snapshot.records.size());
  for (const wire::RecordChange &One : Snapshot.records)
    Records.emplace_back(new config::Record(
        config::RecordId{One.kind, One.name}, One.json, One.since));
  return {Snapshot.revision, Records};
}

std::vector<wire::Member> toWire(const MemberList &Members) {
  std::vector<wire::Member> Result;
  for (const FleetMember &One : Members.all()) {
    wire::Member Member;
    Member.vm = toWire(One.Vm_);
    Member.isLive = One.IsLive_;
    Member.isLeaving = One.IsLeaving_;
    Member.region = One.Region_.text();
    Result.push_back(Member);
  }
  return Result;
}

MemberList fromWire(std::int64_t Version,
                    const std::vector<wire::Member> &Members) {
  std::vector<FleetMember> Result;
  Result.reserve(Members.size());
  for (const wire::Member &One : Members)
    Result.push_back({fromWire(One.vm), base::RegionName(One.region),
                      One.isLive, One.isLeaving});
  return {Version, std::move(Result)};
}

} // namespace ebony::fleet
