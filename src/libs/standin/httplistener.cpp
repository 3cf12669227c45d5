#include "standin/httplistener.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>

#include <limits>
#include <thread>
#include <utility>

namespace ebony::standin {

namespace {

constexpr int MinThreads = 2;
constexpr int MaxThreads = 512;
constexpr int AcceptBacklog = 512;

void closeConnection(Poco::Net::HTTPServerRequest &Request) {
  auto &ServerRequest =
      dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Request);
  ServerRequest.socket().shutdown();
}

HttpCall parseRequestHead(const Poco::Net::HTTPServerRequest &Request) {
  std::vector<HttpHeader> Headers;
  for (const auto &[Name, Value] : Request)
    Headers.push_back({Name, Value});
  return {Request.getMethod(), Request.getURI(),
          Request.clientAddress().host().toString(), std::move(Headers)};
}

void sendAnswer(const HttpAnswer &Answer, Poco::Net::HTTPServerRequest &Request,
                Poco::Net::HTTPServerResponse &Response) {
  if (Answer.Delivery_ == Delivery::Lost) {
    Response.setKeepAlive(false);
    closeConnection(Request);
    return;
  }
  Response.setStatus(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Answer.Status_));
  Response.setReason(
      Poco::Net::HTTPResponse::getReasonForStatus(Response.getStatus()));
  for (const HttpHeader &Header : Answer.Headers_)
    Response.set(Header.Name_, Header.Value_);
  if (!Answer.Type_.empty())
    Response.setContentType(Answer.Type_);
  const bool IsCut = Answer.Delivery_ == Delivery::Cut;
  if (IsCut)
    Response.setKeepAlive(false);
  if (Answer.Status_ != Poco::Net::HTTPResponse::HTTP_NO_CONTENT)
    Response.setContentLength(
        static_cast<std::streamsize>(Answer.Body_.size()));
  std::ostream &Out = Response.send();
  const std::size_t Length =
      IsCut ? Answer.Body_.size() / 2 : Answer.Body_.size();
  Out.write(Answer.Body_.data(), static_cast<std::streamsize>(Length));
  Out.flush();
  if (IsCut)
    closeConnection(Request);
}

class Handler final : public Poco::Net::HTTPRequestHandler {
public:
  explicit Handler(HttpService &Service) : Service_(Service) {}

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    try {
      sendAnswer(Service_.serve(parseRequestHead(Request), Request.stream()),
                 Request, Response);
      // Discards the rest of the body; otherwise it would be parsed as the next
      // request of the connection.
      Request.stream().ignore(std::numeric_limits<std::streamsize>::max());
    } catch (const Poco::SyntaxException &Error) {
      sendAnswer(problemAnswer(Poco::Net::HTTPResponse::HTTP_BAD_REQUEST,
                               Error.displayText()),
                 Request, Response);
    }
  }

private:
  HttpService &Service_;
};

class Factory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit Factory(HttpService &Service) : Service_(Service) {}

  Poco::Net::HTTPRequestHandler *createRequestHandler(
      const Poco::Net::HTTPServerRequest & /*Request*/) override {
    return new Handler(Service_);
  }

private:
  HttpService &Service_;
};

class DelayedAcceptFilter final : public Poco::Net::TCPServerConnectionFilter {
public:
  explicit DelayedAcceptFilter(base::Duration Cost) : Cost_(Cost) {}

  bool accept(const Poco::Net::StreamSocket & /*Socket*/) override {
    std::this_thread::sleep_for(Cost_);
    return true;
  }

private:
  base::Duration Cost_;
};

Poco::Net::ServerSocket bindSocket(const std::string &Address,
                                   std::uint16_t Port) {
  Poco::Net::ServerSocket Socket;
  Socket.bind(Poco::Net::SocketAddress(Address, Port), true);
  Socket.listen(AcceptBacklog);
  return Socket;
}

Poco::Net::HTTPServerParams::Ptr serverParameters() {
  constexpr int KeepAliveSeconds = 60;
  Poco::Net::HTTPServerParams::Ptr Parameters = new Poco::Net::HTTPServerParams;
  Parameters->setMaxThreads(MaxThreads);
  Parameters->setMaxQueued(AcceptBacklog);
  Parameters->setKeepAlive(true);
  Parameters->setMaxKeepAliveRequests(0);
  Parameters->setKeepAliveTimeout(Poco::Timespan(KeepAliveSeconds, 0));
  return Parameters;
}

} // namespace

HttpListener::HttpListener(HttpService &Service, const std::string &Address,
                           std::uint16_t Port, base::Duration ConnectionCost)
    : Threads_(MinThreads, MaxThreads),
      Server_(new Factory(Service), Threads_, bindSocket(Address, Port),
              serverParameters()) {
  if (ConnectionCost > base::Duration::zero())
    Server_.setConnectionFilter(new DelayedAcceptFilter(ConnectionCost));
  Server_.start();
}

HttpListener::~HttpListener() { stop(); }

void HttpListener::stop() {
  Server_.stop();
  Server_.stopAll(false);
  Threads_.joinAll();
}

} // namespace ebony::standin
