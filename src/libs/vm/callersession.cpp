#include "vm/callersession.h"

#include "vm/headerfields.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <netinet/tcp.h>

#include <utility>

namespace ebony::vm {

namespace {

namespace asio = boost::asio;
using asynckit::awaitable;
using asynckit::error_code;

// Largest request body that is buffered so that it can be sent again to another
// upstream. Longer bodies are streamed and sent once.
constexpr std::size_t MaxReplayableBody = 512UL * 1024;

// Time after which a connection with unacknowledged data is closed.
constexpr unsigned TcpUserTimeoutMs = 5000;

unsigned statusFor(RequestReader::HeadStatus Result) {
  constexpr unsigned HeaderTooLarge = 431;
  constexpr unsigned BodyTooLarge = 413;
  constexpr unsigned BadRequest = 400;
  if (Result == RequestReader::HeadStatus::HeaderTooLarge)
    return HeaderTooLarge;
  return Result == RequestReader::HeadStatus::BodyTooLarge ? BodyTooLarge
                                                           : BadRequest;
}

} // namespace

CallerSession::CallerSession(VmState &State, AsyncDispatcher &Dispatcher,
                             QuotaAdmission &Admission, RequestOrigin Origin,
                             asio::ip::tcp::socket Socket)
    : State_(State), AsyncDispatcher_(Dispatcher), Admission_(Admission),
      Origin_(Origin), Socket_(std::move(Socket)),
      Input_(
          std::make_shared<CallerInput>(State.Context_, Socket_, State.Clock_)),
      Reader_(*Input_), Writer_(Socket_, State.Platform_.Headers_),
      Timer_(State.Deadlines_), Queue_(State.Settings_.MaxPipelinedRequests_),
      ReaderWakeup_(State.Context_), WriterWakeup_(State.Context_) {
  error_code Ignored; // The options only reduce latency.
  Socket_.set_option(asio::ip::tcp::no_delay(true), Ignored);
  setsockopt(Socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &TcpUserTimeoutMs, sizeof(TcpUserTimeoutMs));
}

CallerSession::~CallerSession() { Input_->detach(); }

bool CallerSession::isIdle() const {
  return Queue_.empty() && !IsReceiving_ && Input_->bytes().empty();
}

void CallerSession::close() {
  if (IsOver_)
    return;
  IsOver_ = true;
  Timer_.disarm();
  Queue_.forEach([](RequestExchange &Exchange) { Exchange.abandon(); });
  Queue_.clear();
  Input_->stop();
  ReaderWakeup_.notify();
  WriterWakeup_.notify();
  error_code Ignored; // The connection is discarded either way.
  Socket_.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  Socket_.close(Ignored);
}

awaitable<void> CallerSession::run(std::shared_ptr<CallerSession> Self) {
  const std::weak_ptr<CallerSession> Weak = Self;
  Self->Input_->start([Weak] {
    if (const auto Session = Weak.lock())
      Session->handleDisconnect();
  });
  asio::co_spawn(Self->State_.Context_, writeAll(Self), asio::detached);
  co_await Self->readAll();
}

// The caller no longer waits for any response.
void CallerSession::handleDisconnect() {
  if (!Queue_.empty())
    close();
}

awaitable<void> CallerSession::readAll() {
  armIdleTimer();
  bool MayFollow = true;
  while (MayFollow && !IsOver_) {
    while (!Queue_.hasRoom() && !IsOver_)
      co_await ReaderWakeup_.wait();
    // While the VM stops, the last response closes the connection.
    if (IsOver_ || IsClosing_ || (State_.IsStopping_ && !Queue_.empty()))
      break;
    MayFollow = co_await readOne();
  }
  HasReadLast_ = true;
  IsReceiving_ = false;
  WriterWakeup_.notify();
}

awaitable<bool> CallerSession::readOne() {
  const traffic::CallerLimits Limits =
      State_.Rules_ ? State_.Rules_->limits() : traffic::CallerLimits();
  Reader_.begin(Limits);
  co_await Reader_.awaitFirstByte();
  if (Input_->bytes().empty() || IsOver_ || IsClosing_)
    co_return false;
  IsReceiving_ = true;
  const base::TimePoint Arrived = Input_->arrivedAt();
  Timer_.arm(State_.now() + Limits.HeaderTimeout_, [this] { Input_->stop(); });
  const RequestReader::HeadStatus Result = co_await Reader_.readHead();
  Timer_.disarm();
  if (Result == RequestReader::HeadStatus::Ended || IsOver_ || IsClosing_)
    co_return false;
  if (Result != RequestReader::HeadStatus::Read) {
    const ExchangePtr Rejected = makeExchange(CallerRequest(), Arrived);
    Queue_.push(Rejected, false);
    Rejected->reject({statusFor(Result), "bad-request", {}});
    co_return false;
  }
  CallerRequest Request = takeHead();
  Timer_.arm(Arrived + Request.Deadline_, [this] { Input_->stop(); });
  bool IsReceived = co_await confirmExpectation(Request);
  if (IsReceived)
    IsReceived = co_await readBody(Request);
  Timer_.disarm();
  // A caller that has disconnected meanwhile waits for no response.
  if (!IsReceived || IsOver_ || IsClosing_ || Input_->hasEnded())
    co_return false;
  // The rest of a body that is not read completely would be parsed as the next
  // request.
  const bool MayFollow = Reader_.parser().keep_alive() && !Request.HasMoreBody_;
  const ExchangePtr Exchange = makeExchange(std::move(Request), Arrived);
  const bool RunsAlone =
      Exchange->isAtMostOnce() || Exchange->request().HasMoreBody_;
  IsReceiving_ = false;
  if (Queue_.push(Exchange, RunsAlone))
    Exchange->start(Queue_.size() == 1);
  WriterWakeup_.notify();
  co_return MayFollow;
}

CallerRequest CallerSession::takeHead() {
  RequestReader::Parser &Parser = Reader_.parser();
  CallerRequest Request;
  Request.Id_ = valueOf(Parser.get(), State_.Platform_.Headers_.RequestId_);
  Request.Method_ = std::string(Parser.get().method_string());
  Request.Target_ = std::string(Parser.get().target());
  const auto Length = Parser.content_length();
  Request.BodyLength_ = Length ? static_cast<std::int64_t>(*Length) : -1;
  Request.Fields_ = std::move(Parser.get().base());
  const auto Milliseconds = parseNonNegative(
      valueOf(Request.Fields_, State_.Platform_.Headers_.Deadline_));
  if (Milliseconds)
    Request.Deadline_ = std::chrono::milliseconds(*Milliseconds);
  return Request;
}

// Sends 100 Continue to a caller that waits for it before it sends the body.
awaitable<bool>
CallerSession::confirmExpectation(const CallerRequest &Request) {
  const bool IsExpected =
      !Reader_.isComplete() &&
      equalsIgnoringCase(valueOf(Request.Fields_, "Expect"), "100-continue");
  if (!IsExpected)
    co_return true;
  // It must not precede the response to an earlier request.
  while (!Queue_.empty() && !IsOver_)
    co_await ReaderWakeup_.wait();
  if (IsOver_ || IsClosing_)
    co_return false;
  co_return co_await Writer_.sendContinue();
}

awaitable<bool> CallerSession::readBody(CallerRequest &Request) {
  while (!Reader_.isComplete() && Request.Body_.size() < MaxReplayableBody) {
    const bool IsRead = co_await Reader_.readPiece(Request.Body_);
    if (!IsRead)
      co_return false;
  }
  Request.HasMoreBody_ = !Reader_.isComplete();
  co_return true;
}

CallerSession::ExchangePtr
CallerSession::makeExchange(CallerRequest Request, base::TimePoint Arrived) {
  BodySource MoreBody;
  if (Request.HasMoreBody_)
    MoreBody = [Self = shared_from_this()] {
      return Self->Reader_.nextPiece();
    };
  return std::make_shared<RequestExchange>(State_, AsyncDispatcher_, Admission_,
                                           Origin_, std::move(Request), Arrived,
                                           std::move(MoreBody));
}

awaitable<void> CallerSession::writeAll(std::shared_ptr<CallerSession> Self) {
  bool KeepsOpen = true;
  while (KeepsOpen && !Self->IsOver_) {
    if (!Self->Queue_.empty())
      KeepsOpen = co_await Self->writeOne();
    else if (Self->HasReadLast_)
      break;
    else
      co_await Self->WriterWakeup_.wait();
  }
  Self->close();
}

// Writes the next response. Returns false if the connection is to be closed.
awaitable<bool> CallerSession::writeOne() {
  const ExchangePtr Exchange = Queue_.front();
  co_await Exchange->awaitResponse();
  if (IsOver_ || Exchange->wasAbandoned())
    co_return false;
  // Requests that arrive behind a response that closes the connection are not
  // processed, so it is the last one of those that were read.
  const bool KeepsOpen =
      Queue_.size() > 1 || (!HasReadLast_ && !State_.IsStopping_);
  IsClosing_ = !KeepsOpen;
  const bool IsSent = co_await Exchange->writeResponse(Writer_, KeepsOpen);
  if (!IsSent || !KeepsOpen || IsOver_)
    co_return false;
  if (const ExchangePtr Next = Queue_.pop())
    Next->start(Queue_.size() == 1);
  if (Queue_.empty() && !IsReceiving_)
    armIdleTimer();
  ReaderWakeup_.notify();
  co_return true;
}

void CallerSession::armIdleTimer() {
  const traffic::CallerLimits Limits =
      State_.Rules_ ? State_.Rules_->limits() : traffic::CallerLimits();
  Timer_.arm(State_.now() + Limits.IdleTimeout_, [this] { Input_->stop(); });
}

} // namespace ebony::vm
