#include "entry/relayselector.h"

#include "base/hashing.h"

#include <algorithm>
#include <set>

namespace ebony::entry {

namespace {

struct Candidate {
  base::Duration Latency_;
  std::uint64_t Order_ = 0;
  base::VmAddress Address_;
};

bool isNearer(const Candidate &Left, const Candidate &Right) {
  return std::tie(Left.Latency_, Left.Order_) <
         std::tie(Right.Latency_, Right.Order_);
}

} // namespace

RelaySelector::RelaySelector(const fleet::FleetState &State,
                             base::VmIdentity OwnVm, std::uint16_t RelayPort)
    : State_(State), OwnVm_(std::move(OwnVm)), RelayPort_(RelayPort) {}

std::vector<wire::Endpoint>
RelaySelector::candidates(const RequestContext &Context,
                          std::size_t MaxCount) const {
  const records::Configuration &Configuration = *Context.Configuration_;
  std::set<base::ZoneName> Zones;
  for (const auto &[Name, Upstream] :
       Configuration.all<records::UpstreamRecord>())
    if (Upstream.Service_ == Context.Path_.Service_ &&
        Upstream.Zone_ != OwnVm_.zone() &&
        !Configuration.isDrained(Upstream.Name_))
      Zones.insert(Upstream.Zone_);
  std::vector<Candidate> Ordered;
  for (const fleet::FleetMember &Member : State_.members()->all()) {
    if (!Member.isUsable() || Zones.count(Member.Vm_.zone()) == 0)
      continue;
    const std::uint64_t Order =
        base::stableHash(Context.Id_.text() + Member.Vm_.address().text());
    Ordered.push_back(
        {Configuration.latencyBetween(OwnVm_.zone(), Member.Vm_.zone()), Order,
         Member.Vm_.address()});
  }
  std::sort(Ordered.begin(), Ordered.end(), isNearer);
  std::vector<wire::Endpoint> Result;
  for (const Candidate &Peer : Ordered)
    if (Result.size() < MaxCount)
      Result.push_back({Peer.Address_.text(), RelayPort_});
  return Result;
}

bool RelaySelector::isEntryVm(const std::string &Address) const {
  return State_.members()->find(base::VmAddress(Address)) != nullptr;
}

} // namespace ebony::entry
