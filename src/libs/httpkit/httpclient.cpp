#include "httpkit/httpclient.h"

#include "httpkit/clientsession.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <glog/logging.h>

namespace ebony::httpkit {

namespace net = Poco::Net;

HttpClient::HttpClient(wire::Endpoint Peer, std::string SourceAddress,
                       base::Duration Timeout)
    : Peer_(std::move(Peer)), SourceAddress_(std::move(SourceAddress)),
      Timeout_(Timeout) {}

std::optional<SmallResponse>
HttpClient::send(const SmallRequest &Request) const {
  try {
    ClientSession Session(Peer_, SourceAddress_, Timeout_);
    Session.setIoTimeout(Timeout_);
    net::HTTPRequest Head(Request.Method_, Request.Target_,
                          net::HTTPMessage::HTTP_1_1);
    for (const Header &Field : Request.Headers_)
      Head.set(Field.Name_, Field.Value_);
    Head.setContentLength(static_cast<std::streamsize>(Request.Body_.size()));
    Session.sendRequest(Head) << Request.Body_;
    net::HTTPResponse Answer;
    std::istream &Stream = Session.receiveResponse(Answer);
    SmallResponse Result;
    Result.Status_ = Answer.getStatus();
    Poco::StreamCopier::copyToString(Stream, Result.Body_);
    const bool IsCut =
        Answer.getContentLength() != net::HTTPMessage::UNKNOWN_CONTENT_LENGTH &&
        Answer.getContentLength() !=
            static_cast<std::streamsize>(Result.Body_.size());
    if (IsCut)
      return std::nullopt;
    return Result;
  } catch (const Poco::Exception &Error) {
    VLOG(1) << "no response peer=" << toText(Peer_)
            << " error=" << Error.displayText();
    return std::nullopt;
  }
}

} // namespace ebony::httpkit
