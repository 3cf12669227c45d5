// Messages that the VMs of one fleet exchange in datagrams.
namespace cpp ebony.peers.wire

/** Request rate that an upstream has named. */
struct UpstreamLimit {
  1: i64 requestsPer1000s
  /** Age of the newest response that named it. */
  2: i64 namedAgeUs
  /** Age of a newer response without a limit; -1 if there is none. */
  3: i64 endedAgeUs
}

/** A request that was under way at an upstream when its process ended. */
struct Crash {
  /** Hash of the upstream's name and start. */
  1: i32 run
  /** Digest of the request. */
  2: i64 request
  3: i64 ageUs
  /** Time for which the request had been under way. */
  4: i64 ranForUs
}

struct RequestMark {
  /** Digest of the request. */
  1: i64 request
  2: i64 ageUs
}

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
  /** Requests in flight by the hash of the upstream's name; those with none are
      left out. */
  10: map<i32, i32> inFlight
  /** Requests a second in thousandths by the hash of the customer's name; empty
      for VMs that do not plan. */
  11: map<i32, i32> demand
  /** Whether the VM's knowledge of the store is fresh. */
  12: bool isCurrent
  /** Clock of the sender in microseconds; echoed with news. */
  13: i64 sentUs
  /** Request rates named by upstreams, by the hash of their name and start. */
  14: map<i32, UpstreamLimit> limits
  /** Ends of upstreams that the sender saw in the last seconds. */
  15: list<Crash> crashes
  /** Requests that the sender refuses because they end upstreams. */
  16: list<RequestMark> blamed
  /** Requests of which an upstream answered one. */
  17: list<RequestMark> cleared
  /** Whether the sender has lost the way to all upstreams. */
  18: bool reachesNoUpstream
  /** Position in the store's history as of which the zones are known; 0 if they
      are not. */
  19: i64 evacuationsPosition
  /** Zones that must not get new requests. */
  20: list<string> evacuatedZones
  /** Milliseconds for which upstreams stay cold, by the hash of their name. */
  21: map<i32, i32> coldMs
  /** Age of the sender's news of the store; -1 if it had none. */
  22: i64 storeNewsAgeUs = -1
}

struct Row {
  1: string key
  2: binary value
  3: i64 version
  4: bool isRemoved
}

/** Changes of one of the store's tables, from a VM that read them there. */
struct TableNews {
  1: string table
  /** The changes follow this version of the store ... */
  2: i64 after
  /** ... and are all up to this one. */
  3: i64 version
  4: list<Row> rows
  /** Whether no more changes are known to the sender. */
  5: bool isComplete
  /** Age of the sender's knowledge when the news was sent. */
  6: i64 ageUs
  /** The receiver's last report that the sender had by then. */
  7: i64 echoIncarnation
  8: i64 echoUs
  /** Time since the store came back after it was away; -1 for long ago. */
  9: i64 sinceReturnUs
}

/** Asks a VM for one request of a customer out of its share. */
struct TokenAsk {
  1: i64 id
  2: string customer
}

struct TokenAnswer {
  1: i64 id
  2: bool isGranted
  /** Time until the share may have something again. */
  3: i64 pauseUs
}

/** A datagram carries one of these. */
struct Datagram {
  1: optional VmReport report
  2: optional TableNews news
  3: optional TokenAsk ask
  4: optional TokenAnswer answer
}
