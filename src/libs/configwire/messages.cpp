#include "configwire/messages.h"

#include <algorithm>
#include <iterator>

namespace ebony::configwire {

namespace {

// Converts each element of From with Convert and appends it to To.
template <typename Source, typename Target, typename Function>
void convertAll(const Source &From, Target *To, Function Convert) {
  To->reserve(From.size());
  std::transform(From.begin(), From.end(), std::back_inserter(*To), Convert);
}

generated::RecordChange toWireChange(const config::RecordChange &Value) {
  generated::RecordChange Result;
  Result.kind = Value.Id_.Kind_;
  Result.name = Value.Id_.Name_;
  if (Value.Text_)
    Result.__set_text(*Value.Text_);
  return Result;
}

config::RecordChange fromWireChange(const generated::RecordChange &Value) {
  config::RecordChange Result{{Value.kind, Value.name}, std::nullopt};
  if (Value.__isset.text)
    Result.Text_ = Value.text;
  return Result;
}

generated::ChangeSet toWireSet(const config::ChangeSet &Value) {
  generated::ChangeSet Result;
  Result.revision = Value.Revision_;
  Result.operation = Value.Operation_.text();
  convertAll(Value.Changes_, &Result.changes, toWireChange);
  return Result;
}

config::ChangeSet fromWireSet(const generated::ChangeSet &Value) {
  config::ChangeSet Result{
      Value.revision, config::OperationId(Value.operation), {}};
  convertAll(Value.changes, &Result.Changes_, fromWireChange);
  return Result;
}

base::Duration ageOf(std::int64_t Micros) {
  return base::Duration(std::max<std::int64_t>(Micros, 0));
}

generated::Promise toWirePromise(const configagent::AgedPromise &Value) {
  generated::Promise Result;
  Result.writer = toWire(Value.Writer_);
  Result.revision = Value.Revision_;
  Result.ageMicros = Value.Age_.count();
  return Result;
}

configagent::AgedPromise fromWirePromise(const generated::Promise &Value) {
  return {fromWire(Value.writer), Value.revision, ageOf(Value.ageMicros)};
}

generated::MemberProgress
toWireProgress(const configagent::MemberProgress &Value) {
  generated::MemberProgress Result;
  Result.member = toWire(Value.Member_);
  Result.applied = Value.Applied_;
  return Result;
}

configagent::MemberProgress
fromWireProgress(const generated::MemberProgress &Value) {
  return {fromWire(Value.member), Value.applied};
}

generated::SnapshotRecord
toWireRecord(const configagent::SnapshotRecord &Value) {
  generated::SnapshotRecord Result;
  Result.kind = Value.Id_.Kind_;
  Result.name = Value.Id_.Name_;
  Result.text = Value.Text_;
  Result.since = Value.LastChangedRevision_;
  return Result;
}

configagent::SnapshotRecord
fromWireRecord(const generated::SnapshotRecord &Value) {
  return {{Value.kind, Value.name}, Value.text, Value.since};
}

} // namespace

generated::VmIdentity toWire(const base::VmIdentity &Value) {
  generated::VmIdentity Result;
  Result.address = Value.address().text();
  Result.incarnation = Value.incarnation();
  Result.zone = Value.zone().text();
  return Result;
}

generated::PullRequest toWire(const configagent::PullRequest &Value) {
  generated::PullRequest Result;
  Result.sender = toWire(Value.Sender_);
  Result.applied = Value.Applied_;
  Result.wantsPromises = Value.WantsPromises_;
  return Result;
}

generated::PullReply toWire(const configagent::PullReply &Value) {
  generated::PullReply Result;
  Result.sender = toWire(Value.Sender_);
  Result.applied = Value.Applied_;
  Result.ready = Value.Ready_;
  convertAll(Value.Changes_, &Result.changes, toWireSet);
  Result.needsSnapshot = Value.NeedsSnapshot_;
  if (Value.Evidence_) {
    generated::Evidence Evidence;
    Evidence.revision = Value.Evidence_->Revision_;
    Evidence.ageMicros = Value.Evidence_->Age_.count();
    Result.__set_evidence(Evidence);
  }
  convertAll(Value.Promises_, &Result.promises, toWirePromise);
  convertAll(Value.Progress_, &Result.progress, toWireProgress);
  return Result;
}

generated::IntentRequest toWire(const configagent::IntentRequest &Value) {
  generated::IntentRequest Result;
  Result.sender = toWire(Value.Sender_);
  Result.base = Value.BaseRevision_;
  return Result;
}

generated::SnapshotPageRequest
toWire(const configagent::SnapshotPageRequest &Value) {
  generated::SnapshotPageRequest Result;
  Result.at = Value.SnapshotRevision_;
  Result.bucket = static_cast<std::int64_t>(Value.Bucket_);
  return Result;
}

generated::SnapshotPage toWire(const configagent::SnapshotPage &Value) {
  generated::SnapshotPage Result;
  Result.at = Value.SnapshotRevision_;
  convertAll(Value.Records_, &Result.records, toWireRecord);
  Result.nextBucket = static_cast<std::int64_t>(Value.NextBucket_);
  Result.last = Value.Last_;
  return Result;
}

base::VmIdentity fromWire(const generated::VmIdentity &Value) {
  return {base::VmAddress(Value.address), Value.incarnation,
          base::ZoneName(Value.zone)};
}

configagent::PullRequest fromWire(const generated::PullRequest &Value) {
  return {fromWire(Value.sender), Value.applied, Value.wantsPromises};
}

configagent::PullReply fromWire(const generated::PullReply &Value) {
  configagent::PullReply Result;
  Result.Sender_ = fromWire(Value.sender);
  Result.Applied_ = Value.applied;
  Result.Ready_ = Value.ready;
  convertAll(Value.changes, &Result.Changes_, fromWireSet);
  Result.NeedsSnapshot_ = Value.needsSnapshot;
  if (Value.__isset.evidence)
    Result.Evidence_ = configagent::AgedEvidence{
        Value.evidence.revision, ageOf(Value.evidence.ageMicros)};
  convertAll(Value.promises, &Result.Promises_, fromWirePromise);
  convertAll(Value.progress, &Result.Progress_, fromWireProgress);
  return Result;
}

configagent::IntentRequest fromWire(const generated::IntentRequest &Value) {
  return {fromWire(Value.sender), Value.base};
}

configagent::SnapshotPageRequest
fromWire(const generated::SnapshotPageRequest &Value) {
  return {Value.at,
          static_cast<std::size_t>(std::max<std::int64_t>(Value.bucket, 0))};
}

configagent::SnapshotPage fromWire(const generated::SnapshotPage &Value) {
  configagent::SnapshotPage Result;
  Result.SnapshotRevision_ = Value.at;
  convertAll(Value.records, &Result.Records_, fromWireRecord);
  Result.NextBucket_ =
      static_cast<std::size_t>(std::max<std::int64_t>(Value.nextBucket, 0));
  Result.Last_ = Value.last;
  return Result;
}

} // namespace ebony::configwire
