#include "vm/peerexchange.h"

#include "peers/reportcodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

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

// Largest datagram that is read.
constexpr std::size_t MostDatagram = 8UL * 1024;

} // namespace

PeerExchange::PeerExchange(VmState &State)
    : State_(State), Socket_(State.Context_), Timer_(State.Context_) {}

void PeerExchange::start() {
  const udp::endpoint Own(State_.Settings_.Callers_.address(),
                          State_.Settings_.PeerPort_);
  Socket_.open(Own.protocol());
  Socket_.bind(Own);
  Socket_.non_blocking(true);
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
  if (Peers_.empty())
    return;
  const std::string Bytes = peers::encodeReport(State_.ownReport());
  for (const auto &[Name, Address] : Peers_) {
    // A lost report is made up for by the next one.
    error_code Ignored;
    Socket_.send_to(asio::buffer(Bytes), Address, 0, Ignored);
  }
}

asynckit::awaitable<void> PeerExchange::sendRegularly() {
  for (;;) {
    sendReports();
    const base::Duration Gap = std::max<base::Duration>(
        LeastGap, std::chrono::microseconds(1'000'000 * Peers_.size() /
                                            MostReportsPerSecond));
    Timer_.expires_after(Gap);
    error_code Ignored; // A cancelled wait sends the next report early.
    co_await Timer_.async_wait(into(Ignored));
  }
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
    takeReport(Bytes);
  }
}

void PeerExchange::takeReport(const std::string &Bytes) {
  const auto Report = peers::decodeReport(Bytes);
  if (!Report) {
    State_.log(EventLine("vm-report-malformed")
                   .add("bytes", static_cast<std::int64_t>(Bytes.size())));
    return;
  }
  if (State_.Members_.take(*Report, State_.now()))
    State_.log(EventLine("vm-seen")
                   .add("name", Report->Name_)
                   .add("zone", Report->Zone_.text())
                   .add("incarnation", Report->Incarnation_));
}

} // namespace ebony::vm
