#include "vm/statesynchronizer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace ebony::vm {

namespace {

using telemetry::EventLine;

// Malformed entries that are remembered, so that each is logged once.
constexpr std::size_t MaxMalformedEntries = 1000;

} // namespace

StateSynchronizer::StateSynchronizer(VmState &State)
    : State_(State),
      OperatorFollower_(
          State, State.Platform_.OperatorTable_, trustedPace(State.Bounds_),
          {[this](const auto &Rows) { replaceOperatorRows(Rows); },
           [this](const auto &Rows) { applyOperatorRows(Rows); },
           [this](base::TimePoint ReadStarted) {
             State_.KeyTrust_.confirm(ReadStarted);
           },
           nullptr, nullptr, false,
           [this](base::TimePoint Now) {
             publishEvacuations();
             State_.StoreNews_.recordEvacuations(Now);
           }}),
      UpstreamFollower_(
          State, State.Platform_.UpstreamTable_, UpstreamPace,
          {[this](const auto &Rows) { replaceUpstreams(Rows); },
           [this](const auto &Rows) { applyUpstreamRows(Rows); }, nullptr,
           [this](base::TimePoint Since) { State_.recordStoreReturn(Since); },
           nullptr, true,
           [this](base::TimePoint Now) {
             State_.StoreNews_.recordUpstreams(Now);
             State_.StoreAvailability_.recordNews(Now);
           }}) {}

void StateSynchronizer::start() {
  using boost::asio::co_spawn;
  using boost::asio::detached;
  co_spawn(State_.Context_, OperatorFollower_.run(), detached);
  co_spawn(State_.Context_, UpstreamFollower_.run(), detached);
}

void StateSynchronizer::replaceOperatorRows(
    const std::vector<store::Row> &Rows) {
  EvacuatedZones_.clear();
  applyOperatorRows(Rows);
}

void StateSynchronizer::applyOperatorRows(const std::vector<store::Row> &Rows) {
  const std::string &Prefix = State_.Platform_.EvacuationPrefix_;
  for (const store::Row &Row : Rows) {
    if (Row.Key_ == State_.Platform_.ConfigurationKey_ && !Row.IsRemoved_)
      applyConfiguration(Row);
    if (!Row.Key_.starts_with(Prefix))
      continue;
    const base::ZoneName Zone(Row.Key_.substr(Prefix.size()));
    if (Row.IsRemoved_)
      EvacuatedZones_.erase(Zone);
    else
      EvacuatedZones_.insert(Zone);
  }
  publishEvacuations();
}

void StateSynchronizer::applyConfiguration(const store::Row &Row) {
  const auto Decoded = State_.Platform_.DecodeConfiguration_(Row.Value_);
  if (Decoded.has_error()) {
    State_.log(EventLine("configuration-malformed")
                   .add("row_version", Row.Version_)
                   .add("finding", base::toText(Decoded.error())));
    return;
  }
  const traffic::TrafficRulesPtr &Rules = Decoded.value();
  if (State_.Rules_ && Rules->version() <= State_.Rules_->version())
    return;
  State_.Rules_ = Rules;
  State_.Dispatcher_.setRules(Rules);
  State_.Quota_.setRules(*Rules, State_.now());
  State_.Metrics_.ConfigurationVersion_.set(Rules->version());
  State_.log(EventLine("configuration-in-force")
                 .add("configuration", Rules->version())
                 .add("row_version", Row.Version_));
}

void StateSynchronizer::publishEvacuations() {
  State_.setEvacuations({OperatorFollower_.position(), EvacuatedZones_},
                        State_.hasFreshStoreNews());
}

// An upstream that cannot reach the store loses its entry, and may go cold
// before an older entry of it is listed again.
base::Duration
StateSynchronizer::minColdTime(const traffic::UpstreamEntry &Entry) const {
  const traffic::ServiceSettings *Service =
      State_.KnowsUpstreams_ && State_.Rules_
          ? State_.Rules_->findService(Entry.Service_)
          : nullptr;
  return Service ? Service->ColdDuration_ : base::Duration::zero();
}

void StateSynchronizer::replaceUpstreams(const std::vector<store::Row> &Rows) {
  std::set<base::UpstreamName> Listed;
  for (const store::Row &Row : Rows) {
    Listed.insert(base::UpstreamName(Row.Key_));
    applyUpstream(Row);
  }
  State_.Upstreams_.retainOnly(Listed, State_.now());
  State_.KnowsUpstreams_ = true;
  State_.Metrics_.Upstreams_.set(
      static_cast<std::int64_t>(State_.Upstreams_.all().size()));
}

void StateSynchronizer::applyUpstreamRows(const std::vector<store::Row> &Rows) {
  for (const store::Row &Row : Rows) {
    if (!Row.IsRemoved_) {
      applyUpstream(Row);
      continue;
    }
    MalformedEntries_.erase(Row.Key_);
    const base::UpstreamName Name(Row.Key_);
    State_.Upstreams_.remove(Name, State_.now());
    if (!State_.Upstreams_.find(Name))
      State_.Connections_.drop(Name);
    State_.log(EventLine("upstream-gone")
                   .add("upstream", Row.Key_)
                   .add("row_version", Row.Version_));
  }
  State_.Metrics_.Upstreams_.set(
      static_cast<std::int64_t>(State_.Upstreams_.all().size()));
}

// The current entry cannot be decoded, so nothing is sent to the upstream.
void StateSynchronizer::removeMalformed(const store::Row &Row) {
  State_.Upstreams_.remove(base::UpstreamName(Row.Key_), State_.now());
  if (MalformedEntries_.size() >= MaxMalformedEntries)
    MalformedEntries_.clear();
  // An upstream may write the same entry at each heartbeat.
  if (!MalformedEntries_.insert(Row.Key_).second)
    return;
  State_.log(EventLine("upstream-entry-malformed")
                 .add("upstream", Row.Key_)
                 .add("row_version", Row.Version_));
}

void StateSynchronizer::logPassedOver(const char *Event,
                                      const traffic::UpstreamEntry &Entry,
                                      const store::Row &Row) {
  State_.log(EventLine(Event)
                 .add("upstream", Row.Key_)
                 .add("state", Entry.IsDraining_ ? "draining" : "ready")
                 .add("started", Entry.StartedUnixMs_)
                 .add("sequence", Entry.Sequence_.value_or(-1))
                 .add("row_version", Row.Version_));
}

void StateSynchronizer::applyUpstream(const store::Row &Row) {
  const auto Entry = State_.Platform_.DecodeUpstream_(Row);
  if (!Entry) {
    removeMalformed(Row);
    return;
  }
  MalformedEntries_.erase(Row.Key_);
  const traffic::EntryOrder Order =
      State_.Upstreams_.orderOf(*Entry, State_.now());
  if (Order == traffic::EntryOrder::Outdated) {
    State_.Metrics_.OutdatedEntries_.add();
    logPassedOver("upstream-entry-outdated", *Entry, Row);
    return;
  }
  if (Order == traffic::EntryOrder::Unconfirmed)
    logPassedOver("upstream-entry-unconfirmed", *Entry, Row);
  const traffic::UpstreamPtr Previous = State_.Upstreams_.find(Entry->Name_);
  const bool WasDraining = Previous && Previous->Entry_.IsDraining_;
  const bool WasCold = Previous && Previous->isCold(State_.now());
  if (!State_.Upstreams_.put(*Entry, State_.now(), minColdTime(*Entry),
                             State_.hasFreshStoreNews()))
    return;
  const base::Duration ColdRemaining =
      State_.Upstreams_.find(Entry->Name_)->coldRemaining(State_.now());
  if (Previous && WasDraining == Entry->IsDraining_ &&
      Previous->Entry_.StartedUnixMs_ == Entry->StartedUnixMs_) {
    if (WasCold || !Previous->isCold(State_.now()))
      return;
    State_.AreReportsDue_ = State_.AreReportsDue_ || State_.readsForRegion();
    State_.log(EventLine("upstream-cold")
                   .add("upstream", Row.Key_)
                   .add("cold_ms", Entry->ColdRemaining_.count() / 1000)
                   .add("row_version", Row.Version_));
    return;
  }
  State_.log(EventLine("upstream-listed")
                 .add("upstream", Row.Key_)
                 .add("service", Entry->Service_.text())
                 .add("zone", Entry->Zone_.text())
                 .add("state", Entry->IsDraining_ ? "draining" : "ready")
                 .add("cold_ms", Entry->ColdRemaining_.count() / 1000)
                 .add("taken_cold_ms", ColdRemaining.count() / 1000)
                 .add("started", Entry->StartedUnixMs_)
                 .add("sequence", Entry->Sequence_.value_or(-1))
                 .add("row_version", Row.Version_));
}

} // namespace ebony::vm
