#ifndef EBONY_VM_CALLERSESSION_H
#define EBONY_VM_CALLERSESSION_H

#include "base/connectionactivity.h"
#include "vm/callermemory.h"
#include "vm/exchangequeue.h"
#include "vm/requestexchange.h"
#include "vm/requestreader.h"

#include <boost/intrusive/list.hpp>

namespace ebony::vm {

/// A connection of a caller, or of a VM that relays its callers' requests.
/// Reads its requests, has them processed, and writes the responses in the
/// order of the requests.
///
/// Two coroutines run: one reads, one writes. The connection ends when its
/// caller disconnects, after a response that closes it, or when reading has
/// ended and every request is answered.
class CallerSession
    : public std::enable_shared_from_this<CallerSession>,
      public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
  CallerSession(VmState &State, AsyncDispatcher &Dispatcher,
                QuotaAdmission &Admission, RequestOrigin Origin,
                boost::asio::ip::tcp::socket Socket);
  ~CallerSession();

  /// Serves the connection until it ends. A coroutine starts later than it is
  /// created, so \p Self keeps the session alive.
  static asynckit::awaitable<void> run(std::shared_ptr<CallerSession> Self);

  /// Returns whether no request has begun to arrive or waits for its response.
  bool isIdle() const;
  base::ConnectionActivity activity() const;
  void close();
  /// Ends the request that is being received, or the connection, in favour of
  /// other callers.
  void endForOthers();

private:
  using ExchangePtr = std::shared_ptr<RequestExchange>;

  /// Returns whether another request may be read.
  bool mayReadNext() const;
  asynckit::awaitable<void> readAll();
  /// Reads one request. Returns false if no other may follow it.
  asynckit::awaitable<bool> readOne();
  /// Reads the body as far as it is buffered. Returns why the request is
  /// refused instead; the status is 0 if the caller gets no response.
  asynckit::awaitable<std::optional<RequestRefusal>>
  readBody(CallerRequest &Request);
  /// Returns why \p Request, whose body has yet to arrive, is refused already.
  std::optional<RequestRefusal> refusalByHead(const CallerRequest &Request);
  /// Queues the response to a request that is not processed.
  void refuse(CallerRequest Request, base::TimePoint Arrived,
              const RequestRefusal &Refusal);
  asynckit::awaitable<bool> confirmExpectation(const CallerRequest &Request);
  static asynckit::awaitable<void>
  writeAll(std::shared_ptr<CallerSession> Self);
  asynckit::awaitable<bool> writeOne();
  /// Discards what the caller still sends, so that the connection is not reset
  /// before it has read the response.
  asynckit::awaitable<void> linger();

  /// Returns the memory that the connection takes.
  std::size_t heldBytes() const;
  /// Accounts for the memory. Returns false if there is no room.
  bool updateMemory();
  /// Accounts for bytes that were read; ends the connection if there is no
  /// room.
  void accountForInput();
  /// Counts and ends the connection, since others need its memory.
  void evict();
  /// Records that more of a body is awaited, unless the caller is sending it
  /// continuously.
  void recordBodyProgress(std::size_t Received);

  CallerRequest takeHead();
  base::Duration timeToSend(const CallerRequest &Request) const;
  static RequestRefusal shortageRefusal(const std::string &RequestId);
  /// Returns the next part of a body that is streamed; see BodySource.
  asynckit::awaitable<std::optional<std::string>> nextPiece();
  ExchangePtr makeExchange(CallerRequest Request, base::TimePoint Arrived);
  void handleDisconnect();
  void armIdleTimer();

  VmState &State_;
  AsyncDispatcher &AsyncDispatcher_;
  QuotaAdmission &Admission_;
  RequestOrigin Origin_;
  boost::asio::ip::tcp::socket Socket_;
  std::shared_ptr<CallerInput> Input_;
  RequestReader Reader_;
  ResponseWriter Writer_;
  const base::HolderCountPtr Counted_;
  MemoryShare Share_;
  /// Limits how long the caller may be idle or take to send a request.
  asynckit::Deadline Timer_;
  ExchangeQueue<RequestExchange> Queue_;
  asynckit::AutoResetEvent ReaderWakeup_;
  asynckit::AutoResetEvent WriterWakeup_;
  /// Memory of the request that is being received, without unparsed bytes.
  std::size_t IncomingBytes_ = 0;
  /// Bytes of the body since its progress was recorded last.
  std::size_t BytesSinceProgress_ = 0;
  base::TimePoint IdleSince_;
  /// Whether a whole request has arrived on the connection.
  bool WasUsed_ = false;
  /// Whether a request is being received.
  bool IsReceiving_ = false;
  /// Whether the body of a request is being received that is not processed yet.
  bool IsReadingBody_ = false;
  /// Whether the request that is being received is refused in favour of others.
  bool IsEvicted_ = false;
  /// Whether the caller may still be sending a request that was refused.
  bool MayLinger_ = false;
  /// Whether the request that was read last is the last one.
  bool HasReadLast_ = false;
  /// Whether the response that is being written closes the connection.
  bool IsClosing_ = false;
  bool IsOver_ = false;
};

} // namespace ebony::vm

#endif
