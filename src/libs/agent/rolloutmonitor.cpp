#include "agent/rolloutmonitor.h"

#include "wire/generated/Agent.h"
#include "wire/wireclient.h"

#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <thread>

namespace ebony::agent {

namespace {

constexpr base::Duration StatusPollInterval = std::chrono::milliseconds(100);
constexpr base::Duration ZoneStatusTimeout = std::chrono::milliseconds(1500);
constexpr base::Duration AnnounceTimeout = std::chrono::milliseconds(200);

using Client = wire::WireClient<wire::AgentClient>;

std::set<base::ZoneName> zonesOf(const fleet::MemberList &Members) {
  std::set<base::ZoneName> Zones;
  for (const fleet::FleetMember &Member : Members.all())
    Zones.insert(Member.Vm_.zone());
  return Zones;
}

} // namespace

RolloutMonitor::RolloutMonitor(const fleet::FleetState &State,
                               const base::Clock &Clock,
                               std::uint16_t AgentPort)
    : State_(State), Clock_(Clock), AgentPort_(AgentPort) {}

RolloutReport RolloutMonitor::wait(config::Revision Revision,
                                   base::Duration Timeout) const {
  const base::TimePoint Deadline = Clock_.now() + Timeout;
  announce(Revision);
  while (true) {
    RolloutReport Report = collectReport(Revision);
    if (Report.PendingVms_.empty() || Clock_.now() >= Deadline)
      return Report;
    std::this_thread::sleep_for(StatusPollInterval);
  }
}

void RolloutMonitor::announce(config::Revision Revision) const {
  for (const fleet::FleetMember &Member : State_.members()->all()) {
    try {
      Client Agent({Member.Vm_.address().text(), AgentPort_}, AnnounceTimeout);
      Agent.call([&](wire::AgentClient &Stub) {
        Stub.announceRevision(Revision);
        return true;
      });
    } catch (const apache::thrift::TException &Error) {
      VLOG(1) << "cannot announce the revision to agent "
              << Member.Vm_.address().text() << " error=" << Error.what();
    }
  }
}

RolloutReport RolloutMonitor::collectReport(config::Revision Revision) const {
  const auto Members = State_.members();
  std::set<base::VmAddress> Updated;
  for (const base::ZoneName &Zone : zonesOf(*Members)) {
    for (const fleet::FleetMember &Member : Members->inZone(Zone)) {
      try {
        Client Agent({Member.Vm_.address().text(), AgentPort_},
                     ZoneStatusTimeout);
        std::vector<wire::AppliedStatus> Statuses;
        Agent.call([&](wire::AgentClient &Stub) {
          Stub.appliedStatus(Statuses, true);
          return true;
        });
        for (const wire::AppliedStatus &Status : Statuses)
          if (std::min(Status.agentRevision, Status.daemonRevision) >= Revision)
            Updated.insert(base::VmAddress(Status.vm.address));
        break;
      } catch (const apache::thrift::TException &Error) {
        VLOG(1) << "cannot read the applied revisions of zone " << Zone.text()
                << " from agent " << Member.Vm_.address().text()
                << " error=" << Error.what();
      }
    }
  }
  RolloutReport Report;
  for (const fleet::FleetMember &Member : Members->all())
    (Updated.count(Member.Vm_.address()) != 0 ? Report.UpdatedVms_
                                              : Report.PendingVms_)
        .push_back(Member.Vm_.address());
  return Report;
}

} // namespace ebony::agent
