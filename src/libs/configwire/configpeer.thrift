// Messages by which configuration agents keep each other current.
namespace cpp ebony.configwire.generated

struct VmIdentity {
  1: string address
  2: i64 incarnation
  3: string zone
}

struct RecordChange {
  1: string kind
  2: string name
  /** Absent for a deletion. */
  3: optional string text
}

struct ChangeSet {
  1: i64 revision
  2: string operation
  3: list<RecordChange> changes
}

/** No revision above this one was committed before this long ago. */
struct Evidence {
  1: i64 revision
  2: i64 ageMicros
}

struct Promise {
  1: VmIdentity writer
  2: i64 revision
  3: i64 ageMicros
}

struct MemberProgress {
  1: VmIdentity member
  2: i64 applied
}

struct PullRequest {
  1: VmIdentity sender
  2: i64 applied
  3: bool wantsPromises
}

struct PullReply {
  1: VmIdentity sender
  2: i64 applied
  3: bool ready
  4: list<ChangeSet> changes
  5: bool needsSnapshot
  6: optional Evidence evidence
  7: list<Promise> promises
  8: list<MemberProgress> progress
}

struct IntentRequest {
  1: VmIdentity sender
  2: i64 base
}

struct SnapshotRecord {
  1: string kind
  2: string name
  3: string text
  4: i64 since
}

struct SnapshotPageRequest {
  1: i64 at
  2: i64 bucket
}

struct SnapshotPage {
  1: i64 at
  2: list<SnapshotRecord> records
  3: i64 nextBucket
  4: bool last
}

service ConfigPeer {
  PullReply pull(1: PullRequest request)
  /** Answers with the incarnation that holds the address. */
  VmIdentity tellIntent(1: IntentRequest request)
  SnapshotPage snapshotPage(1: SnapshotPageRequest request)
}
