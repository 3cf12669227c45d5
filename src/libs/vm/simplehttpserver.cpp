#include "vm/simplehttpserver.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http.hpp>

namespace ebony::vm {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using asynckit::awaitable;
using asynckit::error_code;
using asynckit::into;

// Idle timeout of a connection.
constexpr base::Duration IdleTimeout = std::chrono::seconds(15);

// GET requests carry no useful body, so a small limit is enough.
constexpr std::uint64_t MaxBodyBytes = 4096;

// Delay after a failed accept, for example when file descriptors run out.
constexpr base::Duration AcceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

void SimpleHttpServer::Connection::close() {
  error_code Ignored; // The connection is discarded either way.
  Socket_.close(Ignored);
}

SimpleHttpServer::SimpleHttpServer(VmState &State, const tcp::endpoint &Address,
                                   base::HolderCountPtr Count,
                                   std::function<void()> MakeRoom,
                                   Handler RequestHandler)
    : State_(State), Acceptor_(State.Context_, Address),
      Count_(std::move(Count)), MakeRoom_(std::move(MakeRoom)),
      Handler_(std::move(RequestHandler)) {}

void SimpleHttpServer::closeLeastActive() {
  Connection *Least = base::findLeastActive(Connections_);
  if (!Least)
    return;
  // It is unlinked here, since its coroutine ends later.
  Least->unlink();
  Least->close();
  State_.Metrics_.ClosedConnections_.add();
}

void SimpleHttpServer::start() {
  asio::co_spawn(State_.Context_, accept(), asio::detached);
}

awaitable<void> SimpleHttpServer::accept() {
  for (;;) {
    error_code Error;
    tcp::socket Socket = co_await Acceptor_.async_accept(into(Error));
    if (Error) {
      asio::steady_timer Pause(State_.Context_, AcceptRetryDelay);
      co_await Pause.async_wait(into(Error));
      continue;
    }
    MakeRoom_();
    auto Client =
        std::make_shared<Connection>(std::move(Socket), State_.now(), Count_);
    Connections_.push_back(*Client);
    asio::co_spawn(State_.Context_, serve(std::move(Client)), asio::detached);
  }
}

awaitable<void> SimpleHttpServer::serve(std::shared_ptr<Connection> Client) {
  boost::beast::flat_buffer Buffer;
  asynckit::Deadline Timer(State_.Deadlines_);
  error_code Error;
  for (;;) {
    Timer.arm(State_.now() + IdleTimeout, [&Client] { Client->close(); });
    http::request_parser<http::string_body> Parser;
    Parser.body_limit(MaxBodyBytes);
    co_await http::async_read(Client->Socket_, Buffer, Parser, into(Error));
    if (Error)
      break;
    const auto [Path, Parameters] =
        parseTarget(std::string(Parser.get().target()));
    const SimpleHttpResponse Reply = Handler_(Path, Parameters);
    http::response<http::string_body> Response;
    Response.result(Reply.Status_);
    Response.set(http::field::content_type, Reply.ContentType_);
    Response.body() = Reply.Body_;
    Response.keep_alive(Parser.get().keep_alive());
    Response.prepare_payload();
    Client->Activity_ = {base::ConnectionUse::Idle, State_.now()};
    co_await http::async_write(Client->Socket_, Response, into(Error));
    if (Error || !Parser.get().keep_alive())
      break;
  }
  Timer.disarm();
  Client->close();
}

std::pair<std::string, QueryParameters> parseTarget(const std::string &Target) {
  std::pair<std::string, QueryParameters> Result;
  Result.first = Target.substr(0, Target.find('?'));
  try {
    for (const auto &[Name, Value] : Poco::URI(Target).getQueryParameters())
      Result.second[Name] = Value;
  } catch (const Poco::Exception &) {
    // Ignores a malformed query string; only the path is used.
    Result.second.clear();
  }
  return Result;
}

} // namespace ebony::vm
