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
  for (const config::RecordChange &RecordChange : Change.Changes_) {
    wire::RecordChange Record;
    Record.kind = RecordChange.Id_.Kind_;
    Record.name = RecordChange.Id_.Name_;
    Record.json = RecordChange.Text_.value_or("");
    Record.isDeletion = RecordChange.isDeletion();
    Result.changes.push_back(Record);
  }
  return Result;
}

config::ChangeSet fromWire(const wire::ChangeSet &Change) {
  config::ChangeSet Result;
  Result.Revision_ = Change.revision;
  Result.Operation_ = config::OperationId(Change.operationId);
  for (const wire::RecordChange &RecordChange : Change.changes) {
    config::RecordChange Record{{RecordChange.kind, RecordChange.name},
                                std::nullopt};
    if (!RecordChange.isDeletion)
      Record.Text_ = RecordChange.json;
    Result.Changes_.push_back(Record);
  }
  return Result;
}

wire::Snapshot toWire(const config::RecordSet &Records) {
  wire::Snapshot Result;
  Result.revision = Records.revision();
  Records.visit([&](const config::Record &Source) {
    wire::RecordChange Record;
    Record.kind = Source.id().Kind_;
    Record.name = Source.id().Name_;
    Record.json = Source.text();
    Record.since = Source.lastChangedRevision();
    Result.records.push_back(Record);
  });
  return Result;
}

config::RecordSet fromWire(const wire::Snapshot &Snapshot) {
  std::vector<config::RecordPtr> Records;
  Records.reserve(Snapshot.records.size());
  for (const wire::RecordChange &Record : Snapshot.records)
    Records.emplace_back(new config::Record(
        config::RecordId{Record.kind, Record.name}, Record.json, Record.since));
  return {Snapshot.revision, Records};
}

std::vector<wire::Member> toWire(const MemberList &Members) {
  std::vector<wire::Member> Result;
  for (const FleetMember &Source : Members.all()) {
    wire::Member Member;
    Member.vm = toWire(Source.Vm_);
    Member.isLive = Source.IsLive_;
    Member.isLeaving = Source.IsLeaving_;
    Member.region = Source.Region_.text();
    Result.push_back(Member);
  }
  return Result;
}

MemberList fromWire(std::int64_t Version,
                    const std::vector<wire::Member> &Members) {
  std::vector<FleetMember> Result;
  Result.reserve(Members.size());
  for (const wire::Member &Member : Members)
    Result.push_back({fromWire(Member.vm), base::RegionName(Member.region),
                      Member.isLive, Member.isLeaving});
  return {Version, std::move(Result)};
}

} // namespace ebony::fleet
