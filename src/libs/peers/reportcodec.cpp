#include "peers/reportcodec.h"

#include "peers/generated/vmreport_types.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cmath>

namespace ebony::peers {

namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

constexpr double Thousand = 1000.0;

} // namespace

std::string encodeReport(const traffic::MemberReport &Report) {
  wire::VmReport Message;
  Message.name = Report.Name_;
  Message.incarnation = Report.Incarnation_;
  Message.callerAddress = Report.CallerAddress_;
  Message.zone = Report.Zone_.text();
  Message.region = Report.Region_.text();
  Message.isReady = Report.IsReady_;
  Message.isLeaving = Report.IsLeaving_;
  Message.isCurrent = Report.IsCurrent_;
  Message.quotaPlan = Report.QuotaPlan_;
  Message.corePermille = Report.CorePermille_;
  for (const auto &[Name, Count] : Report.InFlight_)
    Message.inFlight[Name.text()] = Count;
  for (const auto &[Name, PerSecond] : Report.Demand_)
    Message.demand[Name.text()] =
        static_cast<int32_t>(std::lround(PerSecond * Thousand));
  const auto Buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocol Protocol(Buffer);
  Message.write(&Protocol);
  return Buffer->getBufferAsString();
}

std::optional<traffic::MemberReport> decodeReport(const std::string &Bytes) {
  wire::VmReport Message;
  try {
    std::string Copy = Bytes;
    const auto Buffer = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<std::uint8_t *>(Copy.data()),
        static_cast<std::uint32_t>(Copy.size()));
    TCompactProtocol Protocol(Buffer);
    Message.read(&Protocol);
  } catch (const std::exception &) {
    // Thrift reports every malformed message by an exception.
    return std::nullopt;
  }
  if (Message.name.empty() || Message.callerAddress.empty())
    return std::nullopt;
  traffic::MemberReport Report;
  Report.Name_ = Message.name;
  Report.Incarnation_ = Message.incarnation;
  Report.CallerAddress_ = Message.callerAddress;
  Report.Zone_ = base::ZoneName(Message.zone);
  Report.Region_ = base::RegionName(Message.region);
  Report.IsReady_ = Message.isReady;
  Report.IsLeaving_ = Message.isLeaving;
  Report.IsCurrent_ = Message.isCurrent;
  Report.QuotaPlan_ = Message.quotaPlan;
  Report.CorePermille_ = Message.corePermille;
  for (const auto &[Name, Count] : Message.inFlight)
    if (Count > 0)
      Report.InFlight_[base::UpstreamName(Name)] = Count;
  for (const auto &[Name, PerSecond] : Message.demand)
    if (PerSecond > 0)
      Report.Demand_[base::CustomerName(Name)] = PerSecond / Thousand;
  return Report;
}

} // namespace ebony::peers
