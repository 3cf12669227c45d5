#include "httpkit/httpclient.h"

#include "base/steadyclock.h"
#include "httpkit/clientsession.h"
#include "httpkit/responsereader.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <glog/logging.h>

#include <array>

namespace ebony::httpkit {

namespace net = Poco::Net;

namespace {

// Largest body that is kept. Far above the objects of the platform's store.
constexpr std::size_t MaxBodyBytes = 64UL << 20;

constexpr std::size_t PieceBytes = 16UL << 10;

} // namespace

HttpClient::HttpClient(wire::Endpoint Peer, std::string SourceAddress,
                       base::Duration Timeout)
    : Peer_(std::move(Peer)), SourceAddress_(std::move(SourceAddress)),
      Timeout_(Timeout) {}

std::optional<SmallResponse>
HttpClient::send(const SmallRequest &Request) const {
  const base::SteadyClock Clock;
  try {
    ClientSession Session(Peer_, SourceAddress_, Timeout_);
    Session.setIoTimeout(Timeout_);
    net::HTTPRequest Head(Request.Method_, Request.Target_,
                          net::HTTPMessage::HTTP_1_1);
    for (const Header &Field : Request.Headers_)
      Head.set(Field.Name_, Field.Value_);
    Head.setContentLength(static_cast<std::streamsize>(Request.Body_.size()));
    std::ostream &Sink = Session.sendRequest(Head);
    Sink << Request.Body_;
    const bool IsSent = Session.endRequest(Sink);
    net::HTTPResponse Answer;
    ResponseReader Reader(Session, Request.Method_, IsSent, Clock,
                          Clock.now() + Timeout_);
    if (!Reader.readHead(Answer))
      return std::nullopt;
    SmallResponse Result;
    Result.Status_ = Answer.getStatus();
    std::array<char, PieceBytes> Piece{};
    while (Result.Body_.size() <= MaxBodyBytes) {
      const auto Count = Reader.readBody(Piece.data(), Piece.size());
      if (!Count)
        return std::nullopt;
      if (*Count == 0)
        return Result;
      Result.Body_.append(Piece.data(), *Count);
    }
    LOG(WARNING) << "response too large peer=" << toText(Peer_);
    return std::nullopt;
  } catch (const Poco::Exception &Error) {
    VLOG(1) << "no response peer=" << toText(Peer_)
            << " error=" << Error.displayText();
    return std::nullopt;
  }
}

} // namespace ebony::httpkit
