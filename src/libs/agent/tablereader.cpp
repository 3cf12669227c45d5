#include "agent/tablereader.h"

namespace ebony::agent {

namespace {

config::FollowerSettings followerSettings(base::Duration PollInterval) {
  config::FollowerSettings Settings;
  Settings.PollInterval_ = PollInterval;
  return Settings;
}

} // namespace

TableReader::TableReader(fleet::FleetState &State, config::StoreClient Store,
                         const base::Clock &Clock, base::Duration PollInterval)
    : State_(State), Store_(Store), Clock_(Clock),
      Follower_(State.replica(), followerSettings(PollInterval)) {}

void TableReader::poll() {
  const auto NextRequest = [this] {
    return State_.withReplica([this](config::ConfigReplica &) {
      return Follower_.nextRequest(Clock_.now());
    });
  };
  while (const auto Request = NextRequest()) {
    const config::TableReply Reply = Store_.perform(*Request);
    State_.withReplica([&](config::ConfigReplica &) {
      Follower_.handle(Reply);
      return true;
    });
    if (Reply.Outcome_ != config::TableOutcome::Done)
      break;
  }
  if (Follower_.evidence())
    State_.freshness().addEvidence(*Follower_.evidence());
}

} // namespace ebony::agent
