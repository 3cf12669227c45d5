// What the VMs of one fleet tell each other in datagrams.
namespace cpp ebony.peers.wire

/** One VM's report; sent several times a second to every other VM. */
struct VmReport {
  1: string name
  /** Start of the process; a later start has a higher number. */
  2: i64 incarnation
  /** "ip:port" that callers use. */
  3: string callerAddress
  4: string zone
  5: string region
  6: bool isReady
  7: bool isLeaving
  /** Version of the quota plan that is in force. */
  8: i64 quotaPlan
  /** Share of a core in thousandths. */
  9: i32 corePermille
  /** Requests in flight by upstream; those with none are left out. */
  10: map<string, i32> inFlight
  /** Requests of each customer in thousandths a second. */
  11: map<string, i32> demand
  /** Whether the VM's knowledge of the store is fresh. */
  12: bool isCurrent
}
