#include "vm/peerexchange.h"

#include "peers/datagramcodec.h"

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

// Time between reports in a small fleet. In a larger one it grows, so that a
// VM handles a bounded number of them a second.
constexpr base::Duration LeastGap = std::chrono::milliseconds(300);
constexpr int MostReportsPerSecond = 60;

// The same for VMs of other regions: their requests mostly run elsewhere.
constexpr base::Duration LeastFarGap = std::chrono::milliseconds(600);

// VMs that are told of demand: the one that plans and the next two by name, of
// which one plans when the others end.
constexpr std::size_t MostPlanners = 3;

// Largest datagram that is read, and bytes of rows after which news is split.
constexpr std::size_t MostDatagram = 48UL * 1024;
constexpr std::size_t NewsBytes = 8UL * 1024;

} // namespace

PeerExchange::PeerExchange(VmState &State)
    : State_(State), Socket_(State.Context_), Timer_(State.Context_) {}

void PeerExchange::start() {
  const udp::endpoint Own(State_.Settings_.Callers_.address(),
                          State_.Settings_.PeerPort_);
  Socket_.open(Own.protocol());
  Socket_.bind(Own);
  Socket_.non_blocking(true);
  State_.News_.setSender(
      [this](const peers::TableNews &News) { sendNews(News); });
  asio::co_spawn(State_.Context_, receive(), asio::detached);
  asio::co_spawn(State_.Context_, sendRegularly(), asio::detached);
}

void PeerExchange::replaceRows(const std::vector<store::Row> &Rows) {
  Peers_.clear();
  IsListed_ = false;
  changeRows(Rows);
}

void PeerExchange::changeRows(const std::vector<store::Row> &Rows) {
  for (const store::Row &Row : Rows)
    takeRow(Row);
}

void PeerExchange::takeRow(const store::Row &Row) {
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

void PeerExchange::sendReports() {
  SentFar_ = State_.now();
  sendReports([](const std::string &) { return true; });
}

void PeerExchange::sendReports(
    const std::function<bool(const std::string &Vm)> &Includes) {
  if (Peers_.empty())
    return;
  traffic::MemberReport Report = State_.ownReport();
  const std::string Whole = peers::encode(Report);
  Report.Demand_.clear();
  const std::string WithoutDemand = peers::encode(Report);
  std::vector<std::string> Planners = State_.Members_.liveNames(State_.now());
  Planners.resize(std::min(Planners.size(), MostPlanners));
  for (const auto &[Name, Address] : Peers_) {
    if (!Includes(Name))
      continue;
    const bool MayPlan =
        std::find(Planners.begin(), Planners.end(), Name) != Planners.end();
    send(MayPlan ? Whole : WithoutDemand, Address);
  }
}

asynckit::awaitable<void> PeerExchange::sendRegularly() {
  const auto IsNear = [this](const std::string &Vm) {
    return State_.Members_.isInRegion(Vm, State_.Settings_.Region_);
  };
  for (;;) {
    const auto Near = static_cast<std::size_t>(
        std::count_if(Peers_.begin(), Peers_.end(), [&IsNear](const auto &One) {
          return IsNear(One.first);
        }));
    if (State_.now() - SentFar_ >= gapFor(Peers_.size() - Near, LeastFarGap))
      sendReports();
    else
      sendReports(IsNear);
    Timer_.expires_after(gapFor(Near, LeastGap));
    error_code Ignored; // A cancelled wait sends the next report early.
    co_await Timer_.async_wait(into(Ignored));
  }
}

base::Duration PeerExchange::gapFor(std::size_t Count, base::Duration Least) {
  return std::max<base::Duration>(
      Least,
      std::chrono::microseconds(1'000'000 * Count / MostReportsPerSecond));
}

void PeerExchange::sendNews(const peers::TableNews &News) {
  for (peers::TableNews &Part :
       peers::splitTableNews(News, NewsBytes, MostDatagram - NewsBytes)) {
    for (const auto &[Name, Address] : Peers_) {
      const traffic::MemberReport *Report = State_.Members_.find(Name);
      if (!Report || Report->Region_ != State_.Settings_.Region_)
        continue;
      Part.Proof_.EchoIncarnation_ = Report->Incarnation_;
      Part.Proof_.Echo_ = Report->Sent_;
      send(peers::encode(Part), Address);
    }
  }
}

void PeerExchange::send(const std::string &Bytes, const udp::endpoint &To) {
  // What is lost is made up for by the next one.
  error_code Ignored;
  Socket_.send_to(asio::buffer(Bytes), To, 0, Ignored);
}

asynckit::awaitable<void> PeerExchange::receive() {
  std::string Bytes;
  for (;;) {
    Bytes.resize(MostDatagram);
    udp::endpoint From;
    error_code Error;
    const std::size_t Size = co_await Socket_.async_receive_from(
        asio::buffer(Bytes), From, into(Error));
    // A refused datagram is reported by the next read and means nothing here.
    if (Error)
      continue;
    Bytes.resize(Size);
    take(Bytes, From);
  }
}

void PeerExchange::ask(const std::string &Vm, const peers::TokenAsk &Ask) {
  const auto Entry = Peers_.find(Vm);
  if (Entry != Peers_.end())
    send(peers::encode(Ask), Entry->second);
}

void PeerExchange::take(const std::string &Bytes, const udp::endpoint &From) {
  const peers::Datagram Got = peers::decode(Bytes);
  if (const auto *Report = std::get_if<traffic::MemberReport>(&Got)) {
    takeReport(*Report);
    return;
  }
  if (const auto *Ask = std::get_if<peers::TokenAsk>(&Got)) {
    if (AnswerAsk_)
      send(peers::encode(AnswerAsk_(*Ask)), From);
    return;
  }
  if (const auto *Answer = std::get_if<peers::TokenAnswer>(&Got)) {
    if (TakeAnswer_)
      TakeAnswer_(*Answer);
    return;
  }
  const auto *News = std::get_if<peers::TableNews>(&Got);
  if (!News || !State_.News_.deliver(*News))
    State_.log(EventLine("vm-datagram-malformed")
                   .add("bytes", static_cast<std::int64_t>(Bytes.size())));
}

void PeerExchange::takeReport(const traffic::MemberReport &Report) {
  if (State_.Members_.take(Report, State_.now()))
    State_.log(EventLine("vm-seen")
                   .add("name", Report.Name_)
                   .add("zone", Report.Zone_.text())
                   .add("incarnation", Report.Incarnation_));
}

} // namespace ebony::vm
