#include "load/httpcaller.h"

#include "base/randomengine.h"

#include <Poco/DigestEngine.h>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/SHA2Engine.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace ebony::load {

namespace {

using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::size_t ChunkBytes = 16384;

// Repeats one random chunk, so that the whole body is never held in memory.
std::string sendRandomBody(std::ostream &Out, const OutgoingRequest &Request) {
  std::array<char, ChunkBytes> Chunk{};
  base::RandomEngine Random(Request.BodySeed_);
  for (char &Byte : Chunk)
    Byte = static_cast<char>(Random());
  Poco::SHA2Engine Engine;
  std::int64_t RemainingBytes = Request.BodyBytes_;
  while (RemainingBytes > 0 && Out.good()) {
    const std::int64_t PartBytes =
        std::min<std::int64_t>(RemainingBytes, ChunkBytes);
    Engine.update(Chunk.data(), static_cast<std::size_t>(PartBytes));
    Out.write(Chunk.data(), PartBytes);
    RemainingBytes -= PartBytes;
  }
  Out.flush();
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

std::string sendBody(std::ostream &Out, const OutgoingRequest &Request) {
  if (Request.BodyBytes_ > 0)
    return sendRandomBody(Out, Request);
  Poco::SHA2Engine Engine;
  Engine.update(Request.Body_);
  Out << Request.Body_;
  Out.flush();
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

HTTPRequest requestHead(const OutgoingRequest &Request) {
  HTTPRequest Head(Request.Method_, Request.Target_, HTTPMessage::HTTP_1_1);
  Head.setKeepAlive(true);
  for (const standin::HttpHeader &Header : Request.Headers_)
    Head.set(Header.Name_, Header.Value_);
  const auto Length = Request.BodyBytes_ > 0
                          ? Request.BodyBytes_
                          : static_cast<std::int64_t>(Request.Body_.size());
  if (Length > 0 || Request.Method_ != HTTPRequest::HTTP_GET)
    Head.setContentLength64(Length);
  return Head;
}

void receiveAnswer(HTTPClientSession &Session, IncomingAnswer &Answer) {
  HTTPResponse Head;
  std::istream &In = Session.receiveResponse(Head);
  Answer.Status_ = Head.getStatus();
  Answer.Outcome_ = Head.get("Ebony-Outcome", "");
  Answer.RequestId_ = Head.get("Ebony-Request-Id", "");
  Answer.State_ = AnswerState::Truncated;
  Answer.Body_.assign(std::istreambuf_iterator<char>(In), {});
  const bool HasLength = Head.hasContentLength();
  if (!HasLength || Head.getContentLength64() ==
                        static_cast<Poco::Int64>(Answer.Body_.size()))
    Answer.State_ = AnswerState::Complete;
  if (!Head.getKeepAlive())
    Session.reset();
}

} // namespace

IncomingAnswer HttpCaller::call(const Endpoint &Server,
                                const OutgoingRequest &Request) {
  IncomingAnswer Answer;
  ConnectionPool::Connection Session = Pool_.acquire(Server);
  try {
    constexpr std::int64_t MinTimeoutMicros = 1000;
    Session->setTimeout(
        Poco::Timespan(std::max(MinTimeoutMicros, Request.Timeout_.count())));
    HTTPRequest Head = requestHead(Request);
    std::ostream &Out = Session->sendRequest(Head);
    Answer.SentSha256_ = sendBody(Out, Request);
    // A server that rejects an upload early may stop reading it; its answer
    // may still be readable, so a failed write is ignored here.
    receiveAnswer(*Session, Answer);
  } catch (const Poco::Net::ConnectionRefusedException &) {
    Answer.State_ = AnswerState::NotSent;
  } catch (const Poco::Exception &) {
    // State_ already tells how much of the answer was received.
  }
  if (Answer.State_ == AnswerState::Complete)
    Pool_.release(Server, std::move(Session));
  return Answer;
}

} // namespace ebony::load
