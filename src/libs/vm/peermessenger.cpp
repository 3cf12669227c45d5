#include "vm/peermessenger.h"

#include "peers/datagramcodec.h"
#include "traffic/reportpace.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace ebony::vm {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using asynckit::error_code;
using asynckit::into;
using telemetry::EventLine;

// Minimum time between reports that are sent because something has changed.
constexpr base::Duration MinDueReportInterval = std::chrono::milliseconds(100);

// Number of VMs that receive demand figures: the planner and the next two by
// name, which take over in turn if it ends.
constexpr std::size_t MaxPlanners = 3;

// Largest datagram that is read, and size of the rows in one message above
// which table news is split.
constexpr std::size_t MaxDatagramBytes = 48UL * 1024;
constexpr std::size_t MaxNewsRowBytes = 8UL * 1024;

} // namespace

PeerMessenger::PeerMessenger(VmState &State)
    : State_(State), Socket_(State.Context_), Timer_(State.Context_) {}

void PeerMessenger::start() {
  const udp::endpoint LocalEndpoint(State_.Settings_.Callers_.address(),
                                    State_.Settings_.PeerPort_);
  Socket_.open(LocalEndpoint.protocol());
  Socket_.bind(LocalEndpoint);
  Socket_.non_blocking(true);
  State_.News_.setSender(
      [this](const peers::TableNews &News) { sendNews(News); });
  asio::co_spawn(State_.Context_, receive(), asio::detached);
  asio::co_spawn(State_.Context_, sendPeriodically(), asio::detached);
}

void PeerMessenger::replaceRows(const std::vector<store::Row> &Rows) {
  Peers_.clear();
  IsListed_ = false;
  applyRows(Rows);
}

void PeerMessenger::applyRows(const std::vector<store::Row> &Rows) {
  for (const store::Row &Row : Rows)
    applyRow(Row);
  std::set<std::string> Names;
  for (const auto &[Name, Address] : Peers_)
    Names.insert(Name);
  State_.Members_.setListed(Names, State_.now());
}

void PeerMessenger::applyRow(const store::Row &Row) {
  if (Row.Key_ == State_.Settings_.Name_) {
    IsListed_ = !Row.IsRemoved_;
    return;
  }
  if (Row.IsRemoved_) {
    Peers_.erase(Row.Key_);
    return;
  }
  error_code Error;
  const auto Address = asio::ip::make_address(Row.Value_, Error);
  if (Error) {
    State_.log(EventLine("vm-entry-malformed")
                   .add("name", Row.Key_)
                   .add("row_version", Row.Version_));
    return;
  }
  Peers_[Row.Key_] = udp::endpoint(Address, State_.Settings_.PeerPort_);
}

bool PeerMessenger::isPeer(const asio::ip::tcp::socket &Socket) const {
  error_code Error;
  const asio::ip::address Address = Socket.remote_endpoint(Error).address();
  return !Error && std::any_of(Peers_.begin(), Peers_.end(),
                               [&Address](const auto &Peer) {
                                 return Peer.second.address() == Address;
                               });
}

void PeerMessenger::sendReports() {
  LastSentToAll_ = State_.now();
  sendReports([](const std::string &) { return true; });
}

void PeerMessenger::sendDueReports() {
  if (!State_.AreReportsDue_ ||
      State_.now() - LastSentToAll_ < MinDueReportInterval)
    return;
  State_.AreReportsDue_ = false;
  sendReports();
}

void PeerMessenger::sendReports(
    const std::function<bool(const std::string &Vm)> &Includes) {
  if (Peers_.empty())
    return;
  traffic::MemberReport Report = State_.ownReport();
  const std::string FullReport = peers::encode(Report);
  Report.Demand_.clear();
  const std::string WithoutDemand = peers::encode(Report);
  std::vector<std::string> Planners = State_.Members_.liveNames(State_.now());
  Planners.resize(std::min(Planners.size(), MaxPlanners));
  for (const auto &[Name, Address] : Peers_) {
    if (!Includes(Name))
      continue;
    const bool MayPlan =
        std::find(Planners.begin(), Planners.end(), Name) != Planners.end();
    send(MayPlan ? FullReport : WithoutDemand, Address);
  }
}

asynckit::awaitable<void> PeerMessenger::sendPeriodically() {
  const auto IsSameRegion = [this](const std::string &Vm) {
    return State_.Members_.isInRegion(Vm, State_.Settings_.Region_);
  };
  for (;;) {
    const auto SameRegionCount = static_cast<std::size_t>(std::count_if(
        Peers_.begin(), Peers_.end(), [&IsSameRegion](const auto &Peer) {
          return IsSameRegion(Peer.first);
        }));
    if (State_.now() - LastSentToAll_ >=
        traffic::reportIntervalToOtherRegions(Peers_.size() - SameRegionCount))
      sendReports();
    else
      sendReports(IsSameRegion);
    Timer_.expires_after(traffic::reportIntervalInRegion(SameRegionCount));
    error_code Ignored; // The timer is never cancelled.
    co_await Timer_.async_wait(into(Ignored));
  }
}

void PeerMessenger::sendNews(const peers::TableNews &News) {
  for (peers::TableNews &Fragment : peers::splitTableNews(
           News, MaxNewsRowBytes, MaxDatagramBytes - MaxNewsRowBytes)) {
    for (const auto &[Name, Address] : Peers_) {
      const traffic::MemberReport *Report = State_.Members_.find(Name);
      if (!Report || Report->Region_ != State_.Settings_.Region_)
        continue;
      Fragment.Proof_.EchoIncarnation_ = Report->Incarnation_;
      Fragment.Proof_.EchoSentAt_ = Report->Sent_;
      send(peers::encode(Fragment), Address);
    }
  }
}

void PeerMessenger::send(const std::string &Bytes, const udp::endpoint &To) {
  // Datagrams may be lost: the next report replaces this one.
  error_code Ignored;
  Socket_.send_to(asio::buffer(Bytes), To, 0, Ignored);
}

asynckit::awaitable<void> PeerMessenger::receive() {
  std::string Bytes;
  for (;;) {
    Bytes.resize(MaxDatagramBytes);
    udp::endpoint From;
    error_code Error;
    const std::size_t Size = co_await Socket_.async_receive_from(
        asio::buffer(Bytes), From, into(Error));
    // An ICMP error for an earlier datagram is reported here and can be
    // ignored.
    if (Error)
      continue;
    Bytes.resize(Size);
    handleDatagram(Bytes, From);
  }
}

void PeerMessenger::sendTokenAsk(const std::string &Vm,
                                 const peers::TokenAsk &Ask) {
  const auto Entry = Peers_.find(Vm);
  if (Entry != Peers_.end())
    send(peers::encode(Ask), Entry->second);
}

void PeerMessenger::handleDatagram(const std::string &Bytes,
                                   const udp::endpoint &From) {
  const peers::Datagram Message = peers::decode(Bytes);
  if (const auto *Report = std::get_if<traffic::MemberReport>(&Message)) {
    State_.recordReport(*Report);
    return;
  }
  if (const auto *Ask = std::get_if<peers::TokenAsk>(&Message)) {
    if (AnswerAsk_)
      send(peers::encode(AnswerAsk_(*Ask)), From);
    return;
  }
  if (const auto *Answer = std::get_if<peers::TokenAnswer>(&Message)) {
    if (HandleAnswer_)
      HandleAnswer_(*Answer);
    return;
  }
  const auto *News = std::get_if<peers::TableNews>(&Message);
  if (!News || !State_.News_.deliver(*News))
    State_.log(EventLine("vm-datagram-malformed")
                   .add("bytes", static_cast<std::int64_t>(Bytes.size())));
}

} // namespace ebony::vm
