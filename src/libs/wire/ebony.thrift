// Messages between the processes of one fleet.
namespace cpp ebony.wire

/** Incarnation of an entry VM. */
struct VmIdentity {
  1: string address
  2: i64 incarnation
  3: string zone
}

/** Entry VM with its state as known in its zone. */
struct Member {
  1: VmIdentity vm
  2: bool isLive
  3: bool isLeaving
  4: string region
}

/** Record that was put or deleted. */
struct RecordChange {
  1: string kind
  2: string name
  3: string json
  4: bool isDeletion
  /** Revision that last changed the record; used in snapshots. */
  5: i64 since
}

/** All changes of one revision. */
struct ChangeSet {
  1: i64 revision
  2: string operationId
  3: list<RecordChange> changes
}

/** All records in force at one revision. */
struct Snapshot {
  1: i64 revision
  2: list<RecordChange> records
}

/** Role of the process that sends a FollowRequest. */
enum FollowerRole {
  AGENT = 1
  ENTRY = 2
  STEER = 3
}

struct FollowRequest {
  1: VmIdentity sender
  2: FollowerRole role
  3: i64 knownRevision
  4: i64 knownMembersVersion
}

struct FollowReply {
  /** Age of the sender's evidence of the newest revision; negative when unknown. */
  1: i64 ageMicros
  2: optional Snapshot snapshot
  3: list<ChangeSet> changeSets
  4: i64 membersVersion
  5: optional list<Member> members
  /** Revision to which ageMicros refers. */
  6: i64 evidenceRevision
}

/** Revisions that an entry VM has applied. */
struct AppliedStatus {
  1: VmIdentity vm
  2: i64 agentRevision
  /** Lowest revision applied by the VM's local daemons. */
  3: i64 daemonRevision
}

service Agent {
  FollowReply follow(1: FollowRequest request)
  /** Returns the status of this VM, or of all VMs of its zone. */
  list<AppliedStatus> appliedStatus(1: bool wholeZone)
  /** Announces a committed revision; the receiver checks for it at once. */
  oneway void announceRevision(1: i64 revision)
}
