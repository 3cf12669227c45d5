#include "entry/forwarder.h"

#include "entry/callerheaders.h"
#include "entry/responsecopier.h"
#include "httpkit/responsereader.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <glog/logging.h>

#include <algorithm>
#include <charconv>

namespace ebony::entry {

namespace {

namespace net = Poco::Net;

constexpr std::int64_t FullPermille = 1000;

/// Parses "<in flight>/<slots>" as thousandths of the slots; returns
/// std::nullopt when the text is malformed.
std::optional<std::int64_t> parseLoad(const std::string &Text) {
  std::int64_t InFlight = 0;
  std::int64_t Slots = 0;
  const char *End = Text.data() + Text.size();
  const auto First = std::from_chars(Text.data(), End, InFlight);
  if (First.ec != std::errc() || First.ptr == End || *First.ptr != '/')
    return std::nullopt;
  const auto Second = std::from_chars(First.ptr + 1, End, Slots);
  if (Second.ec != std::errc() || Slots <= 0 || InFlight < 0)
    return std::nullopt;
  return std::min(InFlight, Slots) * FullPermille / Slots;
}

bool reportsNotRun(const net::HTTPResponse &Head, bool IsRelay) {
  const char *Name = IsRelay ? "Ebony-Outcome" : "Ebony-Upstream-Outcome";
  return Head.getStatus() >= net::HTTPResponse::HTTP_BAD_REQUEST &&
         Head.get(Name, "") == "not-run";
}

} // namespace

/// State of one attempt.
struct Forwarder::PeerExchange {
  const RequestContext &Context_;
  const net::HTTPServerRequest &Request_;
  RequestBody &Body_;
  const wire::Endpoint &Peer_;
  net::HTTPServerResponse &Response_;
  bool IsRelay_;
  net::HTTPRequest Head_;
  /// Whether the whole request was sent.
  bool IsSent_ = false;
};

Forwarder::Forwarder(ConnectionPool &Connections, const base::Clock &Clock)
    : Connections_(Connections), Clock_(Clock) {}

ForwardResult Forwarder::forward(const RequestContext &Context,
                                 const net::HTTPServerRequest &Request,
                                 RequestBody &Body, const wire::Endpoint &Peer,
                                 net::HTTPServerResponse &Response) {
  PeerExchange Exchange{
      Context,
      Request,
      Body,
      Peer,
      Response,
      false,
      {Request.getMethod(), Context.Path_.Target_, net::HTTPMessage::HTTP_1_1}};
  return attempt(Exchange);
}

ForwardResult Forwarder::relay(const RequestContext &Context,
                               const net::HTTPServerRequest &Request,
                               RequestBody &Body, const wire::Endpoint &Peer,
                               net::HTTPServerResponse &Response) {
  PeerExchange Exchange{
      Context,
      Request,
      Body,
      Peer,
      Response,
      true,
      {Request.getMethod(), Request.getURI(), net::HTTPMessage::HTTP_1_1}};
  return attempt(Exchange);
}

ForwardResult Forwarder::attempt(PeerExchange &Exchange) {
  std::unique_ptr<httpkit::ClientSession> Session;
  try {
    Session = Connections_.acquire(Exchange.Peer_);
  } catch (const Poco::Exception &) {
    return {ForwardStatus::Unreachable, std::nullopt};
  }
  try {
    buildRequestHead(Exchange);
    ForwardResult Result = send(Exchange, *Session);
    if (Result.Status_ != ForwardStatus::Answered)
      return Result;
    Result = receive(Exchange, *Session);
    const bool IsReusable =
        Result.Status_ == ForwardStatus::Answered && Session->getKeepAlive();
    if (IsReusable)
      Connections_.release(Exchange.Peer_, std::move(Session));
    return Result;
  } catch (const Poco::Exception &Error) {
    VLOG(1) << "attempt failed request=" << Exchange.Context_.Id_.text()
            << " peer=" << toText(Exchange.Peer_)
            << " error=" << Error.displayText();
    const bool IsResponseStarted = Exchange.Response_.sent();
    return {IsResponseStarted ? ForwardStatus::Truncated
                              : ForwardStatus::Unknown,
            std::nullopt};
  }
}

void Forwarder::buildRequestHead(PeerExchange &Exchange) const {
  copyCallerHeaders(Exchange.Request_, Exchange.Head_);
  addSystemHeaders(Exchange.Context_, Clock_.now(), Exchange.Head_);
  Exchange.Head_.setHost(Exchange.Peer_.Address_, Exchange.Peer_.Port_);
  if (Exchange.Body_.contentLength() >= 0)
    Exchange.Head_.setContentLength64(Exchange.Body_.contentLength());
  else
    Exchange.Head_.setChunkedTransferEncoding(true);
}

ForwardResult Forwarder::send(PeerExchange &Exchange,
                              httpkit::ClientSession &Session) const {
  Session.setIoTimeout(
      std::max<base::Duration>(Exchange.Context_.Deadline_ - Clock_.now(),
                               std::chrono::milliseconds(1)));
  std::ostream &Sink = Session.sendRequest(Exchange.Head_);
  switch (Exchange.Body_.sendTo(Sink)) {
  case BodyResult::Sent:
    Exchange.IsSent_ = Session.endRequest(Sink);
    return {ForwardStatus::Answered, std::nullopt};
  case BodyResult::TooLarge:
    Session.abort();
    return {ForwardStatus::BodyTooLarge, std::nullopt};
  case BodyResult::TooSlow:
    Session.abort();
    return {ForwardStatus::BodyTooSlow, std::nullopt};
  case BodyResult::CallerDisconnected:
    break;
  }
  // Else the end of the stream would write the last chunk of a body that is not
  // complete.
  Session.abort();
  return {ForwardStatus::CallerDisconnected, std::nullopt};
}

// A response without the id of this request belongs to another request and
// arrived late or out of order. The connection is then not reused.
ForwardResult Forwarder::receive(PeerExchange &Exchange,
                                 httpkit::ClientSession &Session) const {
  net::HTTPResponse Head;
  httpkit::ResponseReader Reader(Session, Exchange.Head_.getMethod(),
                                 Exchange.IsSent_, Clock_,
                                 Exchange.Context_.Deadline_);
  if (!Reader.readHead(Head))
    return {ForwardStatus::Unknown, std::nullopt};
  const auto Load = parseLoad(Head.get("Ebony-Load", ""));
  if (Head.get("Ebony-Request-Id", "") != Exchange.Context_.Id_.text())
    return {ForwardStatus::Unknown, Load};
  if (reportsNotRun(Head, Exchange.IsRelay_))
    return {ForwardStatus::NotRun, Load};
  if (!Exchange.IsRelay_)
    Head.set("Ebony-Outcome", "complete");
  switch (ResponseCopier(Head, Reader).copyTo(Exchange.Response_)) {
  case CopyResult::Complete:
    return {ForwardStatus::Answered, Load};
  case CopyResult::TruncatedBeforeSending:
    return {ForwardStatus::Unknown, Load};
  case CopyResult::TruncatedWhileSending:
    break;
  }
  return {ForwardStatus::Truncated, Load};
}

} // namespace ebony::entry
