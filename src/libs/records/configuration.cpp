#include "records/configuration.h"

namespace ebony::records {

namespace {

template <typename T>
void makeEmpty(std::shared_ptr<const RecordTable<T>> &Table) {
  Table = std::make_shared<const RecordTable<T>>();
}

} // namespace

Configuration::Configuration() {
  std::apply([](auto &...Table) { (makeEmpty(Table), ...); }, Tables_);
}

const RouteRecord *Configuration::findRoute(const base::ServiceName &Service,
                                            const std::string &Path) const {
  const RouteRecord *Best = nullptr;
  for (const auto &[Name, Route] : all<RouteRecord>()) {
    if (Route.Service_ != Service ||
        Path.compare(0, Route.PathPrefix_.size(), Route.PathPrefix_) != 0)
      continue;
    if (Best == nullptr || Route.PathPrefix_.size() > Best->PathPrefix_.size())
      Best = &Route;
  }
  return Best;
}

bool Configuration::isDrained(const base::UpstreamName &Upstream) const {
  for (const auto &[Name, Drain] : all<DrainRecord>())
    if (Drain.Upstream_ == Upstream)
      return true;
  return false;
}

base::Duration Configuration::latencyBetween(const base::ZoneName &From,
                                             const base::ZoneName &To) const {
  const ZoneRecord *Source = find<ZoneRecord>(From.text());
  const ZoneRecord *Destination = find<ZoneRecord>(To.text());
  if (Source == nullptr || Destination == nullptr ||
      Source->Region_ == Destination->Region_)
    return base::Duration(0);
  for (const auto &[Name, Link] : all<LinkRecord>()) {
    const bool IsForward =
        Link.From_ == Source->Region_ && Link.To_ == Destination->Region_;
    const bool IsBackward =
        Link.From_ == Destination->Region_ && Link.To_ == Source->Region_;
    if (IsForward || IsBackward)
      return Link.OneWayLatency_;
  }
  return base::Duration(0);
}

} // namespace ebony::records
