#include "vm/vmstate.h"

#include "vm/followpaces.h"

#include <unistd.h>

#include <chrono>
#include <cmath>

namespace ebony::vm {

namespace {

// Upstreams whose entries expired while the store was unavailable are listed
// again within two seconds of its return, which includes the time to apply
// their entries.
constexpr base::Duration StoreReturnGrace = std::chrono::milliseconds(2000);

// Time without a report after which a VM is no longer returned to callers;
// several report intervals.
constexpr base::Duration MemberTimeout = std::chrono::milliseconds(2500);

// Age of the VM's news of the store up to which what it learns is new to the
// other VMs as well; longer than two reads of the store take.
constexpr base::Duration MaxFreshNewsAge = std::chrono::milliseconds(2500);

// Fraction of the rate limit of a cold upstream that is used; the rest allows
// for VMs with a different view of the fleet.
constexpr double ColdLimitFraction = 0.8;

// Multiple of a customer's rate that the VMs admit. It uses half of the overrun
// that the fleet is allowed.
constexpr double QuotaOverrunFactor = 1.04;

// Fraction of the memory that callers' requests and responses may take; what
// the allocator adds and the state of the process need the rest.
constexpr std::size_t CallerMemoryDivisor = 4;

// Maximum number of addresses in a directory response.
constexpr std::size_t MaxDirectoryAddresses = 8;

std::int64_t unixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::size_t
countRegions(const std::map<base::ZoneName, base::RegionName> &Zones) {
  std::set<base::RegionName> Regions;
  for (const auto &[Zone, Region] : Zones)
    Regions.insert(Region);
  return std::max<std::size_t>(Regions.size(), 1);
}

base::Duration scaled(base::Duration Whole, double Factor) {
  return base::fromSeconds(base::toSeconds(Whole) * Factor);
}

base::Duration trustDuration(const FleetBounds &Bounds) {
  return scaled(Bounds.KeyWithdrawal_, TrustFraction);
}

std::string toText(const boost::asio::ip::tcp::endpoint &Endpoint) {
  return Endpoint.address().to_string() + ":" + std::to_string(Endpoint.port());
}

} // namespace

VmState::VmState(boost::asio::io_context &Context, const base::Clock &Clock,
                 VmSettings Settings, FleetBounds Bounds,
                 PlatformBinding Platform, std::uint64_t Seed)
    : Context_(Context), Clock_(Clock), Settings_(std::move(Settings)),
      Bounds_(Bounds), Platform_(std::move(Platform)),
      Incarnation_(unixMilliseconds()), Log_(STDOUT_FILENO, Settings_.Name_),
      CallerMemory_(
          new CallerMemory(Settings_.MemoryBytes_ / CallerMemoryDivisor)),
      KeyTrust_(trustDuration(Bounds_)), PlanTrust_(trustDuration(Bounds_)),
      Upstreams_(Settings_.Zones_, StoreReturnGrace),
      Members_(Settings_.Name_, MemberTimeout),
      ColdLimiter_(Settings_.Name_, ColdLimitFraction),
      RateLimiter_(Settings_.Name_, Settings_.Region_),
      Dispatcher_(Upstreams_,
                  traffic::PlacementOrder(Settings_.Region_,
                                          countRegions(Settings_.Zones_)),
                  ColdLimiter_, RateLimiter_,
                  traffic::DispatcherSettings{
                      {Bounds_.ColdOverrun_, Bounds_.ColdSlack_}},
                  base::RandomEngine(Seed)),
      Quota_(Settings_.Name_, QuotaOverrunFactor, trustDuration(Bounds_)),
      Budget_(Bounds_.RetryRatio_, Bounds_.RetrySlack_, Bounds_.RetryWindow_),
      Directory_(MaxDirectoryAddresses, base::RandomEngine(Seed + 1)),
      Connections_(Context),
      Relays_(Settings_.Region_, base::RandomEngine(Seed + 2)),
      PeerConnections_(Context) {}

bool VmState::areUpstreamConnectionsScarce() const {
  return Exchanges_->value() >= Settings_.upstreamConnections() / 2;
}

bool VmState::makeRoomForUpstreamConnection() {
  if (MakeRoomForConnection_)
    MakeRoomForConnection_();
  return Exchanges_->value() <= Settings_.upstreamConnections();
}

void VmState::logNamedLimit(const traffic::UpstreamState &Upstream,
                            std::string_view SourceKey,
                            const std::string &Source) {
  const traffic::NamedLimit &Limit = Upstream.Limit_;
  log(telemetry::EventLine(Limit.isInForce() ? "upstream-limit"
                                             : "upstream-limit-ended")
          .add(SourceKey, Source)
          .add("upstream", Upstream.Entry_.Name_.text())
          .add("limit_per_1000s", std::llround(Limit.RatePerSecond_ * 1000))
          .add("named_ms_ago", (now() - Limit.NamedAt_).count() / 1000)
          .add("in_flight", Upstream.InFlight_)
          .add("in_flight_elsewhere", Upstream.InFlightElsewhere_));
}

void VmState::logBlamedRequests(std::string_view SourceKey,
                                const std::string &Source) {
  if (Crashes_.isEmpty() && LoggedBlame_.empty())
    return;
  const auto Blamed = Crashes_.blamed(now());
  const auto Log = [&](const char *Event, traffic::RequestFingerprint Request) {
    log(telemetry::EventLine(Event)
            .add(SourceKey, Source)
            .add("fingerprint", traffic::toHex(Request))
            .add("upstreams_ended",
                 static_cast<std::int64_t>(Crashes_.crashCount(Request))));
  };
  for (const auto &[Request, LastEnd] : Blamed)
    if (!LoggedBlame_.contains(Request))
      Log("request-blamed", Request);
  for (const auto &[Request, LastEnd] : LoggedBlame_)
    if (!Blamed.contains(Request))
      Log("request-cleared", Request);
  LoggedBlame_ = Blamed;
  Metrics_.BlamedRequests_.set(static_cast<std::int64_t>(Blamed.size()));
}

void VmState::setEvacuations(traffic::Evacuations Evacuations, bool IsFresh) {
  const bool IsChange = Evacuations.Zones_ != OwnEvacuations_.Zones_ ||
                        OwnEvacuations_.Position_ == 0;
  const std::set<base::ZoneName> Before = evacuatedZones();
  OwnEvacuations_ = std::move(Evacuations);
  if (IsChange || evacuatedZones() != Before)
    applyEvacuations("store", IsFresh);
}

std::set<base::ZoneName> VmState::evacuatedZones() const {
  return OwnEvacuations_.Position_ >= ReportedEvacuations_.Position_
             ? OwnEvacuations_.Zones_
             : ReportedEvacuations_.Zones_;
}

void VmState::applyEvacuations(const std::string &Source, bool IsFresh) {
  const std::set<base::ZoneName> Evacuated = evacuatedZones();
  Upstreams_.setEvacuated(Evacuated, longestColdDuration(), now(), IsFresh);
  std::string Zones;
  for (const base::ZoneName &Zone : Evacuated)
    Zones += (Zones.empty() ? "" : ",") + Zone.text();
  log(telemetry::EventLine("evacuated-zones")
          .add("zones", Zones)
          .add("by", Source)
          .add("position", std::max(OwnEvacuations_.Position_,
                                    ReportedEvacuations_.Position_)));
  // VMs of other regions may not reach the store.
  AreReportsDue_ = AreReportsDue_ || (IsFresh && readsForRegion());
}

base::Duration VmState::longestColdDuration() const {
  base::Duration Longest{};
  if (!Rules_)
    return Longest;
  for (const auto &[Name, Upstream] : Upstreams_.all()) {
    const traffic::ServiceSettings *Service =
        Rules_->findService(Upstream->Entry_.Service_);
    if (Service)
      Longest = std::max(Longest, Service->ColdDuration_);
  }
  return Longest;
}

bool VmState::hasFreshStoreNews() const {
  return StoreNews_.age(now()) < MaxFreshNewsAge;
}

void VmState::recordStoreReturn(base::TimePoint Since) {
  const base::TimePoint AvailableSince = StoreAvailability_.since(now());
  const bool WasAvailable = AvailableSince + StoreReturnGrace <= Since;
  if (!WasAvailable)
    Upstreams_.recordStoreReturn(Since);
  log(telemetry::EventLine("store-returned")
          .add("for", WasAvailable ? "this-vm" : "all")
          .add("available_ms", (now() - AvailableSince).count() / 1000));
}

void VmState::recordReport(const traffic::MemberReport &Report) {
  if (Report.StoreNewsAge_)
    StoreAvailability_.recordNews(now() - *Report.StoreNewsAge_);
  for (const traffic::UpstreamPtr &Upstream :
       Upstreams_.applyReportedLimits(Report.Limits_, now()))
    logNamedLimit(*Upstream, "by", Report.Name_);
  if (Report.Evacuations_.Position_ > ReportedEvacuations_.Position_) {
    const std::set<base::ZoneName> Before = evacuatedZones();
    ReportedEvacuations_ = Report.Evacuations_;
    if (evacuatedZones() != Before)
      applyEvacuations(Report.Name_, false);
  }
  for (const traffic::UpstreamPtr &Upstream :
       Upstreams_.applyReportedCold(Report.Cold_, now()))
    log(telemetry::EventLine("upstream-cold")
            .add("upstream", Upstream->Entry_.Name_.text())
            .add("cold_ms", Upstream->coldRemaining(now()).count() / 1000)
            .add("by", Report.Name_));
  Crashes_.applyReport(Report.Crashes_, now());
  logBlamedRequests("by", Report.Name_);
  if (Members_.recordReport(Report, now()))
    log(telemetry::EventLine("vm-seen")
            .add("name", Report.Name_)
            .add("zone", Report.Zone_.text())
            .add("incarnation", Report.Incarnation_));
}

void VmState::updateIsolation() {
  base::Duration NewsAge = StoreNews_.age(now());
  if (const auto Reported = Members_.newestStoreNews())
    NewsAge = std::min(NewsAge, now() - *Reported);
  if (!Isolation_.update(Members_, NewsAge, now()))
    return;
  const bool IsIsolated = Isolation_.isIsolated();
  Dispatcher_.setIsolated(IsIsolated);
  Metrics_.IsIsolated_.set(IsIsolated ? 1 : 0);
  log(telemetry::EventLine(IsIsolated ? "isolated" : "isolation-ended")
          .add("heard_vms", static_cast<std::int64_t>(Isolation_.heardCount()))
          .add("expected_vms",
               static_cast<std::int64_t>(Isolation_.expectedCount()))
          .add("silent_vms",
               static_cast<std::int64_t>(Isolation_.silentCount()))
          .add("store_news_ms", NewsAge.count() / 1000));
}

void VmState::updateFleetView() {
  const base::TimePoint Now = now();
  const std::vector<const traffic::MemberReport *> Live = Members_.live(Now);
  if (Members_.isListKnown()) {
    const std::vector<std::string> Others = Members_.sharingNames(Now);
    ColdLimiter_.setOtherVms(Others, Now);
    Budget_.setVmCount(Others.size() + 1, Now);
  }
  RateLimiter_.setOtherVms(Live);
  Upstreams_.setInFlightElsewhere(Members_.inFlightElsewhere(Now));
}

traffic::MemberReport VmState::ownIdentity() const {
  constexpr double Permille = 1000;
  traffic::MemberReport Report;
  Report.Name_ = Settings_.Name_;
  Report.Incarnation_ = Incarnation_;
  Report.CallerAddress_ = toText(Settings_.Callers_);
  Report.Zone_ = Settings_.Zone_;
  Report.Region_ = Settings_.Region_;
  Report.IsReady_ = isReady();
  Report.IsLeaving_ = IsStopping_;
  Report.IsCurrent_ =
      KeyTrust_.age(now()) < scaled(Bounds_.KeyWithdrawal_, CurrentFraction) &&
      PlanTrust_.isFresh(now());
  Report.ReachesNoUpstream_ = !Reachability_.reachesUpstreams();
  Report.QuotaPlanVersion_ = Quota_.plan().Version_;
  Report.CorePermille_ =
      static_cast<int>(std::lround(Settings_.CoreShare_ * Permille));
  Report.Sent_ = now();
  return Report;
}

traffic::MemberReport VmState::ownReport() const {
  traffic::MemberReport Report = ownIdentity();
  for (const auto &[Name, Upstream] : Upstreams_.all())
    if (Upstream->InFlight_ > 0)
      Report.InFlight_[Upstream->tag()] = Upstream->InFlight_;
  Report.Demand_ = Quota_.demand(now());
  Report.Limits_ = Upstreams_.limitsToReport(now());
  Report.Crashes_ = Crashes_.report(now());
  Report.Evacuations_ = OwnEvacuations_;
  Report.Cold_ = Upstreams_.coldToReport(now());
  if (OwnEvacuations_.Position_ > 0)
    Report.StoreNewsAge_ = StoreNews_.age(now());
  return Report;
}

} // namespace ebony::vm
