#include "load/lookupcache.h"

#include "base/hashing.h"
#include "standin/jsonfields.h"

#include <thread>

namespace ebony::load {

namespace {

constexpr int Ok = 200;
constexpr base::Duration LookupTimeout = std::chrono::seconds(1);

std::optional<Lookup> parseLookup(const std::string &Text,
                                  base::TimePoint Now) {
  base::Findings Problems;
  standin::JsonFields Fields(standin::parseObject(Text, "look-up", Problems),
                             "look-up", "$", Problems);
  Lookup Result;
  Result.Session_ = Fields.text("session");
  Result.Expires_ = Now + Fields.milliseconds("ttlMilliseconds", {});
  for (standin::JsonFields &Vm : Fields.objects("entryVms"))
    Result.Vms_.push_back(
        {{Vm.text("address"), Vm.port("port")}, Vm.text("zone")});
  if (!Problems.empty())
    return std::nullopt;
  return Result;
}

} // namespace

std::optional<Lookup> LookupCache::resolve(int HomeZone,
                                           const std::string &Service,
                                           const std::string &Customer) {
  const std::string Key =
      std::to_string(HomeZone) + "/" + Service + "/" + Customer;
  Shard &KeyShard = Shards_[base::stableHash(Key) % ShardCount];
  {
    const std::lock_guard Guard(KeyShard.Lock_);
    const auto Cached = KeyShard.Entries_.find(Key);
    if (Cached != KeyShard.Entries_.end() &&
        Clock_.now() < Cached->second.Expires_)
      return Cached->second;
  }
  auto Fresh = queryNearestSteerd(HomeZone, Service, Customer);
  if (Fresh) {
    const std::lock_guard Guard(KeyShard.Lock_);
    KeyShard.Entries_[Key] = *Fresh;
  }
  return Fresh;
}

std::optional<Lookup>
LookupCache::queryNearestSteerd(int HomeZone, const std::string &Service,
                                const std::string &Customer) {
  const std::string Target =
      "/v1/lookup?service=" + Service + "&customer=" + Customer;
  const int Zones = static_cast<int>(Fleet_.Zones_.size());
  for (int Offset = 0; Offset < Zones; ++Offset) {
    const FleetZone &Zone =
        Fleet_.Zones_[static_cast<std::size_t>((HomeZone + Offset) % Zones)];
    for (const Endpoint &Steerd : Zone.Steerds_)
      if (auto Cached = querySteerd(
              Steerd, Fleet_.oneWayLatency(HomeZone, Zone.Name_), Target))
        return Cached;
  }
  return std::nullopt;
}

std::optional<Lookup> LookupCache::querySteerd(const Endpoint &Steerd,
                                               base::Duration OneWay,
                                               const std::string &Target) {
  OutgoingRequest Request;
  Request.Target_ = Target;
  Request.Timeout_ = LookupTimeout;
  std::this_thread::sleep_for(OneWay);
  const IncomingAnswer Answer = Caller_.call(Steerd, Request);
  std::this_thread::sleep_for(OneWay);
  if (Answer.State_ != AnswerState::Complete || Answer.Status_ != Ok)
    return std::nullopt;
  return parseLookup(Answer.Body_, Clock_.now());
}

} // namespace ebony::load
