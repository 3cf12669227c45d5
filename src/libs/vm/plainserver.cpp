#include "vm/plainserver.h"

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

// Time for which a connection may stay without a request.
constexpr base::Duration IdleTimeOut = std::chrono::seconds(15);

// Requests here have no body worth reading.
constexpr std::uint64_t MostBody = 4096;

// Pause after a failed accept, such as when descriptors run out.
constexpr base::Duration AcceptPause = std::chrono::milliseconds(50);

} // namespace

PlainServer::PlainServer(VmState &State, const tcp::endpoint &Address,
                         Handler Answer)
    : State_(State), Acceptor_(State.Context_, Address),
      Answer_(std::move(Answer)) {}

void PlainServer::start() {
  asio::co_spawn(State_.Context_, accept(), asio::detached);
}

awaitable<void> PlainServer::accept() {
  for (;;) {
    error_code Error;
    tcp::socket Socket = co_await Acceptor_.async_accept(into(Error));
    if (Error) {
      asio::steady_timer Pause(State_.Context_, AcceptPause);
      co_await Pause.async_wait(into(Error));
      continue;
    }
    asio::co_spawn(State_.Context_, serve(std::move(Socket)), asio::detached);
  }
}

awaitable<void> PlainServer::serve(tcp::socket Socket) {
  boost::beast::flat_buffer Buffer;
  asynckit::Deadline Timer(State_.Deadlines_);
  const auto Close = [&Socket] {
    error_code Ignored; // The connection is given up either way.
    Socket.close(Ignored);
  };
  error_code Error;
  for (;;) {
    Timer.arm(State_.now() + IdleTimeOut, Close);
    http::request_parser<http::string_body> Parser;
    Parser.body_limit(MostBody);
    co_await http::async_read(Socket, Buffer, Parser, into(Error));
    if (Error)
      break;
    const auto [Path, Parameters] =
        parseTarget(std::string(Parser.get().target()));
    const PlainAnswer Answer = Answer_(Path, Parameters);
    http::response<http::string_body> Response;
    Response.result(Answer.Status_);
    Response.set(http::field::content_type, Answer.ContentType_);
    Response.body() = Answer.Body_;
    Response.keep_alive(Parser.get().keep_alive());
    Response.prepare_payload();
    co_await http::async_write(Socket, Response, into(Error));
    if (Error || !Parser.get().keep_alive())
      break;
  }
  Timer.disarm();
  Close();
}

std::pair<std::string, Query> parseTarget(const std::string &Target) {
  std::pair<std::string, Query> Result;
  Result.first = Target.substr(0, Target.find('?'));
  try {
    for (const auto &[Name, Value] : Poco::URI(Target).getQueryParameters())
      Result.second[Name] = Value;
  } catch (const Poco::Exception &) {
    // A query that cannot be read counts as none; the path alone decides.
    Result.second.clear();
  }
  return Result;
}

} // namespace ebony::vm
