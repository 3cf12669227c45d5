#include "peers/datagramcodec.h"

#include "peers/generated/datagram_types.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <cmath>

namespace ebony::peers {

namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

constexpr double Thousand = 1000.0;

std::int64_t toMicroseconds(base::TimePoint Time) {
  return Time.time_since_epoch().count();
}

std::string toBytes(const wire::Datagram &Message) {
  const auto Buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocol Protocol(Buffer);
  Message.write(&Protocol);
  return Buffer->getBufferAsString();
}

wire::UpstreamLimit toWire(const traffic::ReportedLimit &Limit) {
  wire::UpstreamLimit Message;
  Message.requestsPer1000s = std::llround(Limit.RatePerSecond_ * Thousand);
  Message.namedAgeUs = Limit.NamedAge_.count();
  Message.endedAgeUs = Limit.EndedAge_ ? Limit.EndedAge_->count() : -1;
  return Message;
}

/// Returns std::nullopt if the message is not valid.
std::optional<traffic::ReportedLimit>
fromWire(const wire::UpstreamLimit &Message) {
  if (Message.requestsPer1000s < 0 || Message.namedAgeUs < 0)
    return std::nullopt;
  traffic::ReportedLimit Limit;
  Limit.RatePerSecond_ =
      static_cast<double>(Message.requestsPer1000s) / Thousand;
  Limit.NamedAge_ = base::Duration(Message.namedAgeUs);
  if (Message.endedAgeUs >= 0)
    Limit.EndedAge_ = base::Duration(Message.endedAgeUs);
  return Limit;
}

std::vector<wire::RequestMark>
toWire(const std::vector<traffic::ReportedRequest> &Requests) {
  std::vector<wire::RequestMark> Result;
  for (const traffic::ReportedRequest &One : Requests) {
    wire::RequestMark Mark;
    Mark.request = static_cast<std::int64_t>(One.Request_);
    Mark.ageUs = One.Age_.count();
    Result.push_back(Mark);
  }
  return Result;
}

std::vector<traffic::ReportedRequest>
fromWire(const std::vector<wire::RequestMark> &Marks) {
  std::vector<traffic::ReportedRequest> Result;
  for (const wire::RequestMark &Mark : Marks)
    if (Mark.ageUs >= 0)
      Result.push_back({static_cast<traffic::RequestFingerprint>(Mark.request),
                        base::Duration(Mark.ageUs)});
  return Result;
}

std::vector<wire::Crash>
toWire(const std::vector<traffic::ReportedCrash> &Crashes) {
  std::vector<wire::Crash> Result;
  for (const traffic::ReportedCrash &One : Crashes) {
    wire::Crash Message;
    Message.run = static_cast<std::int32_t>(One.Run_);
    Message.request = static_cast<std::int64_t>(One.Request_);
    Message.ageUs = One.Age_.count();
    Message.ranForUs = One.RanFor_.count();
    Result.push_back(Message);
  }
  return Result;
}

std::vector<traffic::ReportedCrash>
fromWire(const std::vector<wire::Crash> &Messages) {
  std::vector<traffic::ReportedCrash> Result;
  for (const wire::Crash &Message : Messages)
    if (Message.ageUs >= 0 && Message.ranForUs >= 0)
      Result.push_back(
          {static_cast<traffic::NameTag>(Message.run),
           static_cast<traffic::RequestFingerprint>(Message.request),
           base::Duration(Message.ageUs), base::Duration(Message.ranForUs)});
  return Result;
}

wire::VmReport toWire(const traffic::MemberReport &Report) {
  wire::VmReport Message;
  Message.name = Report.Name_;
  Message.incarnation = Report.Incarnation_;
  Message.callerAddress = Report.CallerAddress_;
  Message.zone = Report.Zone_.text();
  Message.region = Report.Region_.text();
  Message.isReady = Report.IsReady_;
  Message.isLeaving = Report.IsLeaving_;
  Message.isCurrent = Report.IsCurrent_;
  Message.reachesNoUpstream = Report.ReachesNoUpstream_;
  Message.quotaPlan = Report.QuotaPlanVersion_;
  Message.corePermille = Report.CorePermille_;
  for (const auto &[Tag, Count] : Report.InFlight_)
    Message.inFlight[static_cast<std::int32_t>(Tag)] = Count;
  for (const auto &[Tag, PerSecond] : Report.Demand_)
    Message.demand[static_cast<std::int32_t>(Tag)] =
        static_cast<int32_t>(std::lround(PerSecond * Thousand));
  Message.sentUs = toMicroseconds(Report.Sent_);
  for (const auto &[Tag, Limit] : Report.Limits_)
    Message.limits[static_cast<std::int32_t>(Tag)] = toWire(Limit);
  Message.crashes = toWire(Report.Crashes_.Crashes_);
  Message.blamed = toWire(Report.Crashes_.Blamed_);
  Message.cleared = toWire(Report.Crashes_.Cleared_);
  Message.evacuationsPosition = Report.Evacuations_.Position_;
  for (const base::ZoneName &Zone : Report.Evacuations_.Zones_)
    Message.evacuatedZones.push_back(Zone.text());
  for (const auto &[Tag, Remaining] : Report.Cold_)
    Message.coldMs[static_cast<std::int32_t>(Tag)] =
        static_cast<std::int32_t>(Remaining / std::chrono::milliseconds(1));
  if (Report.StoreNewsAge_)
    Message.storeNewsAgeUs = Report.StoreNewsAge_->count();
  return Message;
}

Datagram fromWire(const wire::VmReport &Message) {
  if (Message.name.empty() || Message.callerAddress.empty())
    return {};
  traffic::MemberReport Report;
  Report.Name_ = Message.name;
  Report.Incarnation_ = Message.incarnation;
  Report.CallerAddress_ = Message.callerAddress;
  Report.Zone_ = base::ZoneName(Message.zone);
  Report.Region_ = base::RegionName(Message.region);
  Report.IsReady_ = Message.isReady;
  Report.IsLeaving_ = Message.isLeaving;
  Report.IsCurrent_ = Message.isCurrent;
  Report.ReachesNoUpstream_ = Message.reachesNoUpstream;
  Report.QuotaPlanVersion_ = Message.quotaPlan;
  Report.CorePermille_ = Message.corePermille;
  for (const auto &[Tag, Count] : Message.inFlight)
    if (Count > 0)
      Report.InFlight_[static_cast<traffic::NameTag>(Tag)] = Count;
  for (const auto &[Tag, PerSecond] : Message.demand)
    if (PerSecond > 0)
      Report.Demand_[static_cast<traffic::NameTag>(Tag)] = PerSecond / Thousand;
  Report.Sent_ = base::TimePoint(base::Duration(Message.sentUs));
  for (const auto &[Tag, Entry] : Message.limits)
    if (const auto Limit = fromWire(Entry))
      Report.Limits_.emplace(static_cast<traffic::NameTag>(Tag), *Limit);
  Report.Crashes_ = {fromWire(Message.crashes), fromWire(Message.blamed),
                     fromWire(Message.cleared)};
  Report.Evacuations_.Position_ =
      std::max<std::int64_t>(Message.evacuationsPosition, 0);
  for (const std::string &Zone : Message.evacuatedZones)
    Report.Evacuations_.Zones_.insert(base::ZoneName(Zone));
  for (const auto &[Tag, Remaining] : Message.coldMs)
    if (Remaining > 0)
      Report.Cold_.emplace(static_cast<traffic::NameTag>(Tag),
                           std::chrono::milliseconds(Remaining));
  if (Message.storeNewsAgeUs >= 0)
    Report.StoreNewsAge_ = base::Duration(Message.storeNewsAgeUs);
  return Report;
}

wire::TableNews toWire(const TableNews &News) {
  wire::TableNews Message;
  Message.table = News.Table_;
  Message.after = News.After_;
  Message.version = News.Changes_.Version_;
  for (const store::Row &Change : News.Changes_.Rows_) {
    wire::Row Row;
    Row.key = Change.Key_;
    Row.value = Change.Value_;
    Row.version = Change.Version_;
    Row.isRemoved = Change.IsRemoved_;
    Message.rows.push_back(std::move(Row));
  }
  Message.isComplete = News.IsComplete_;
  Message.ageUs = News.Proof_.Age_.count();
  Message.echoIncarnation = News.Proof_.EchoIncarnation_;
  Message.echoUs = toMicroseconds(News.Proof_.EchoSentAt_);
  Message.sinceReturnUs = News.SinceReturn_ ? News.SinceReturn_->count() : -1;
  return Message;
}

Datagram fromWire(const wire::TableNews &Message) {
  if (Message.table.empty() || Message.after < 0 ||
      Message.version < Message.after || Message.ageUs < 0)
    return {};
  TableNews News;
  News.Table_ = Message.table;
  News.After_ = Message.after;
  News.Changes_.Version_ = Message.version;
  for (const wire::Row &Row : Message.rows)
    News.Changes_.Rows_.push_back(
        {Row.key, Row.value, Row.version, Row.isRemoved});
  News.IsComplete_ = Message.isComplete;
  News.Proof_ = {Message.echoIncarnation,
                 base::TimePoint(base::Duration(Message.echoUs)),
                 base::Duration(Message.ageUs)};
  if (Message.sinceReturnUs >= 0)
    News.SinceReturn_ = base::Duration(Message.sinceReturnUs);
  return News;
}

} // namespace

std::string encode(const traffic::MemberReport &Report) {
  wire::Datagram Message;
  Message.__set_report(toWire(Report));
  return toBytes(Message);
}

std::string encode(const TableNews &News) {
  wire::Datagram Message;
  Message.__set_news(toWire(News));
  return toBytes(Message);
}

std::string encode(const TokenAsk &Ask) {
  wire::TokenAsk Inner;
  Inner.id = Ask.Id_;
  Inner.customer = Ask.Customer_.text();
  wire::Datagram Message;
  Message.__set_ask(Inner);
  return toBytes(Message);
}

std::string encode(const TokenAnswer &Answer) {
  wire::TokenAnswer Inner;
  Inner.id = Answer.Id_;
  Inner.isGranted = Answer.IsGranted_;
  Inner.pauseUs = Answer.Pause_.count();
  wire::Datagram Message;
  Message.__set_answer(Inner);
  return toBytes(Message);
}

Datagram decode(const std::string &Bytes) {
  wire::Datagram Message;
  try {
    std::string Copy = Bytes;
    const auto Buffer = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<std::uint8_t *>(Copy.data()),
        static_cast<std::uint32_t>(Copy.size()));
    TCompactProtocol Protocol(Buffer);
    Message.read(&Protocol);
  } catch (const std::exception &) {
    // Thrift throws for every malformed message.
    return {};
  }
  if (Message.__isset.report)
    return fromWire(Message.report);
  if (Message.__isset.news)
    return fromWire(Message.news);
  if (Message.__isset.ask)
    return TokenAsk{Message.ask.id, base::CustomerName(Message.ask.customer)};
  if (Message.__isset.answer)
    return TokenAnswer{
        Message.answer.id, Message.answer.isGranted,
        base::Duration(std::max<std::int64_t>(Message.answer.pauseUs, 0))};
  return {};
}

} // namespace ebony::peers
