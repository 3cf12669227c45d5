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

// Delay after which a caller may retry that was refused in favour of others,
// and the spread that keeps callers from returning together.
constexpr base::Duration ShortageRetryAfter = std::chrono::milliseconds(500);
constexpr unsigned ShortageRetrySpreadMs = 500;

// Longest deadline that a caller can name.
constexpr std::int64_t MaxDeadlineMilliseconds = 24L * 3600 * 1000;

// A caller that sends this much of a body is not taken for stopped.
constexpr std::size_t ProgressBytes = 16UL * 1024;

// What is read at most of a refused request, and for how long, so that the
// caller reads the response; and the number of connections that do so.
constexpr std::size_t MaxLingerBytes = 1024UL * 1024;
constexpr base::Duration MaxLinger = std::chrono::seconds(1);
constexpr std::size_t MaxLingeringSessions = 16;

constexpr unsigned RequestTimeout = 408;
constexpr unsigned Unavailable = 503;

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
      Reader_(*Input_),
      Writer_(Socket_, State.Platform_.Headers_, Share_, State.Clock_),
      Counted_(State.CallerConnections_),
      Share_(State.CallerMemory_, [this] { evict(); }),
      Timer_(State.Deadlines_), Queue_(State.Settings_.MaxPipelinedRequests_),
      ReaderWakeup_(State.Context_), WriterWakeup_(State.Context_),
      IdleSince_(State.now()) {
  error_code Ignored; // The options only reduce latency.
  Socket_.set_option(asio::ip::tcp::no_delay(true), Ignored);
  setsockopt(Socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &TcpUserTimeoutMs, sizeof(TcpUserTimeoutMs));
}

CallerSession::~CallerSession() { Input_->detach(); }

bool CallerSession::isIdle() const {
  return Queue_.empty() && !IsReceiving_ && Input_->bytes().empty();
}

base::ConnectionActivity CallerSession::activity() const {
  if (!WasUsed_ && Queue_.empty())
    return {base::ConnectionUse::Unused, IdleSince_};
  if (isIdle())
    return {base::ConnectionUse::Idle, IdleSince_};
  if (const auto Since = Share_.waitingSince())
    return {base::ConnectionUse::Waiting, *Since};
  return {base::ConnectionUse::Busy, IdleSince_};
}

std::size_t CallerSession::heldBytes() const {
  std::size_t Bytes = Input_->heldBytes() + IncomingBytes_;
  Queue_.forEach([&Bytes](const RequestExchange &Exchange) {
    Bytes += Exchange.heldBytes();
  });
  return Bytes;
}

bool CallerSession::updateMemory() {
  return Share_.resize(IsOver_ ? 0 : heldBytes(), State_.now());
}

void CallerSession::accountForInput() {
  if (updateMemory())
    return;
  // The request was refused, or is as soon as its head has been parsed.
  if (MayLinger_ || (Queue_.empty() && !IsReadingBody_))
    Share_.resizeUnchecked(heldBytes(), State_.now());
  else
    evict();
}

void CallerSession::evict() {
  if (IsOver_)
    return;
  State_.Metrics_.EvictedConnections_.add();
  endForOthers();
}

void CallerSession::endForOthers() {
  IsEvicted_ = true;
  // The request was not processed, so its caller can be told.
  if (IsReadingBody_ && Queue_.empty())
    Reader_.stop();
  else
    close();
}

void CallerSession::recordBodyProgress(std::size_t Received) {
  BytesSinceProgress_ += Received;
  if (BytesSinceProgress_ < ProgressBytes)
    return;
  BytesSinceProgress_ = 0;
  Share_.beginWait(CallerWait::Send, State_.now());
}

void CallerSession::close() {
  if (IsOver_)
    return;
  IsOver_ = true;
  Timer_.disarm();
  Share_.endWait(CallerWait::Send);
  Queue_.forEach([](RequestExchange &Exchange) { Exchange.abandon(); });
  Queue_.clear();
  Input_->stop();
  ReaderWakeup_.notify();
  WriterWakeup_.notify();
  error_code Ignored; // The connection is discarded either way.
  Socket_.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  Socket_.close(Ignored);
  updateMemory();
}

awaitable<void> CallerSession::run(std::shared_ptr<CallerSession> Self) {
  const std::weak_ptr<CallerSession> Weak = Self;
  Self->Input_->start(
      [Weak] {
        if (const auto Session = Weak.lock())
          Session->handleDisconnect();
      },
      [Weak] {
        const auto Session = Weak.lock();
        if (Session)
          Session->accountForInput();
      });
  asio::co_spawn(Self->State_.Context_, writeAll(Self), asio::detached);
  co_await Self->readAll();
}

// The caller no longer waits for any response.
void CallerSession::handleDisconnect() {
  if (!Queue_.empty())
    close();
}

// A connection may have several requests in process only while the connections
// to upstreams suffice for those of all callers.
bool CallerSession::mayReadNext() const {
  return Queue_.hasRoom() &&
         (Queue_.empty() || !State_.areUpstreamConnectionsScarce());
}

awaitable<void> CallerSession::readAll() {
  armIdleTimer();
  bool MayFollow = true;
  while (MayFollow && !IsOver_) {
    while (!mayReadNext() && !IsOver_)
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
  Share_.beginWait(CallerWait::Send, State_.now());
  const RequestReader::HeadStatus Result = co_await Reader_.readHead();
  Share_.endWait(CallerWait::Send);
  Timer_.disarm();
  if (Result == RequestReader::HeadStatus::Ended || IsOver_ || IsClosing_)
    co_return false;
  if (Result != RequestReader::HeadStatus::Read) {
    refuse(CallerRequest(), Arrived, {statusFor(Result), "bad-request", {}});
    co_return false;
  }
  WasUsed_ = true;
  CallerRequest Request = takeHead();
  IncomingBytes_ = memoryOf(Request);
  if (!updateMemory()) {
    const RequestRefusal NoRoom = shortageRefusal(Request.Id_);
    refuse(std::move(Request), Arrived, NoRoom);
    co_return false;
  }
  std::optional<RequestRefusal> Refusal = refusalByHead(Request);
  if (!Refusal && !Reader_.isComplete()) {
    Timer_.arm(Arrived + timeToSend(Request), [this] { Reader_.stop(); });
    const bool MaySend = co_await confirmExpectation(Request);
    if (MaySend)
      Refusal = co_await readBody(Request);
    else
      Refusal = RequestRefusal{0, "", {}};
    Timer_.disarm();
  }
  // A caller that has disconnected meanwhile waits for no response.
  if (IsOver_ || IsClosing_)
    co_return false;
  if (Refusal) {
    if (Refusal->Status_ != 0)
      refuse(std::move(Request), Arrived, *Refusal);
    co_return Refusal->Status_ != 0 && Reader_.isComplete() &&
        Reader_.parser().keep_alive();
  }
  if (Input_->hasEnded())
    co_return false;
  // The rest of a body that is not read completely would be parsed as the next
  // request.
  const bool MayFollow = Reader_.parser().keep_alive() && !Request.HasMoreBody_;
  const ExchangePtr Exchange = makeExchange(std::move(Request), Arrived);
  const bool RunsAlone =
      Exchange->isAtMostOnce() || Exchange->request().HasMoreBody_;
  IsReceiving_ = false;
  IncomingBytes_ = 0;
  const bool StartsNow = Queue_.push(Exchange, RunsAlone);
  Share_.resizeUnchecked(heldBytes(), State_.now());
  if (StartsNow && !IsOver_)
    Exchange->start(Queue_.size() == 1);
  WriterWakeup_.notify();
  co_return MayFollow;
}

void CallerSession::refuse(CallerRequest Request, base::TimePoint Arrived,
                           const RequestRefusal &Refusal) {
  Request.Body_ = std::string();
  Request.HasMoreBody_ = false;
  IncomingBytes_ = 0;
  Input_->setLargeBuffer(false);
  IsReceiving_ = false;
  MayLinger_ = !Reader_.isComplete();
  const ExchangePtr Rejected = makeExchange(std::move(Request), Arrived);
  Queue_.push(Rejected, false);
  Share_.resizeUnchecked(heldBytes(), State_.now());
  Rejected->reject(Refusal);
  WriterWakeup_.notify();
}

RequestRefusal CallerSession::shortageRefusal(const std::string &RequestId) {
  const std::size_t Spread =
      std::hash<std::string>()(RequestId) % ShortageRetrySpreadMs;
  return {Unavailable, "resources-short",
          ShortageRetryAfter + std::chrono::milliseconds(Spread)};
}

std::optional<RequestRefusal>
CallerSession::refusalByHead(const CallerRequest &Request) {
  if (Reader_.isComplete())
    return std::nullopt;
  std::optional<RequestRefusal> Refusal = checkHead(State_, Request).Refusal_;
  if (!Refusal)
    return std::nullopt;
  // If the whole body has arrived, the connection can be kept.
  Reader_.discardArrived();
  return Refusal;
}

// Returns how long after its arrival a request may still be received: later it
// could not be served.
base::Duration CallerSession::timeToSend(const CallerRequest &Request) const {
  const traffic::RouteSettings *Route =
      State_.Rules_ ? findRoute(*State_.Rules_, Request) : nullptr;
  return Route ? std::min(Request.Deadline_, Route->Timeout_)
               : Request.Deadline_;
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
    Request.Deadline_ = std::chrono::milliseconds(
        std::min(*Milliseconds, MaxDeadlineMilliseconds));
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

awaitable<std::optional<RequestRefusal>>
CallerSession::readBody(CallerRequest &Request) {
  IsReadingBody_ = true;
  BytesSinceProgress_ = 0;
  Share_.beginWait(CallerWait::Send, State_.now());
  const std::size_t HeadBytes = IncomingBytes_;
  bool IsRead = true;
  bool HasRoom = true;
  while (IsRead && HasRoom && !Reader_.isComplete() &&
         Request.Body_.size() < MaxReplayableBody) {
    const std::size_t Before = Request.Body_.size();
    IsRead = co_await Reader_.readPiece(Request.Body_);
    if (IsEvicted_)
      break;
    recordBodyProgress(Request.Body_.size() - Before);
    // A body that has arrived with its head needs no large buffer.
    Input_->setLargeBuffer(!Reader_.isComplete());
    IncomingBytes_ = HeadBytes + Request.Body_.capacity();
    HasRoom = updateMemory();
  }
  Share_.endWait(CallerWait::Send);
  IsReadingBody_ = false;
  if (!HasRoom || IsEvicted_)
    co_return shortageRefusal(Request.Id_);
  if (Timer_.hasExpired())
    co_return RequestRefusal{RequestTimeout, "body-too-slow", {}};
  if (!IsRead)
    co_return RequestRefusal{0, "", {}};
  Request.HasMoreBody_ = !Reader_.isComplete();
  Input_->setLargeBuffer(Request.HasMoreBody_);
  co_return std::nullopt;
}

CallerSession::ExchangePtr
CallerSession::makeExchange(CallerRequest Request, base::TimePoint Arrived) {
  BodySource MoreBody;
  if (Request.HasMoreBody_)
    MoreBody = [Self = shared_from_this()] { return Self->nextPiece(); };
  return std::make_shared<RequestExchange>(
      State_, AsyncDispatcher_, Admission_, Origin_, std::move(Request),
      Arrived, std::move(MoreBody), [Weak = weak_from_this()] {
        if (const auto Self = Weak.lock())
          Self->Share_.resizeUnchecked(Self->heldBytes(), Self->State_.now());
      });
}

awaitable<std::optional<std::string>> CallerSession::nextPiece() {
  Share_.beginWait(CallerWait::Send, State_.now());
  std::optional<std::string> Piece = co_await Reader_.nextPiece();
  Share_.endWait(CallerWait::Send);
  co_return Piece;
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
  if (Self->MayLinger_ && !Self->IsOver_)
    co_await Self->linger();
  Self->close();
}

// Closing a connection with unread bytes resets it, and the response is lost.
awaitable<void> CallerSession::linger() {
  if (State_.Lingering_->value() >= MaxLingeringSessions)
    co_return;
  const base::HolderCountPtr Held = State_.Lingering_;
  error_code Ignored; // The connection is discarded either way.
  Socket_.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  Timer_.arm(State_.now() + MaxLinger, [this] { Input_->stop(); });
  std::size_t Discarded = 0;
  while (Discarded < MaxLingerBytes) {
    Discarded += Input_->bytes().size();
    Input_->consume(Input_->bytes().size());
    if (Input_->hasEnded() || IsOver_)
      break;
    co_await Input_->awaitChange();
  }
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
  const ExchangePtr Next = Queue_.pop();
  IdleSince_ = State_.now();
  updateMemory();
  if (Next)
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
