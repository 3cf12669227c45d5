#ifndef EBONY_VM_CALLERSESSION_H
#define EBONY_VM_CALLERSESSION_H

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
  void close();

private:
  using ExchangePtr = std::shared_ptr<RequestExchange>;

  asynckit::awaitable<void> readAll();
  /// Reads one request. Returns false if no other may follow it.
  asynckit::awaitable<bool> readOne();
  asynckit::awaitable<bool> readBody(CallerRequest &Request);
  asynckit::awaitable<bool> confirmExpectation(const CallerRequest &Request);
  static asynckit::awaitable<void>
  writeAll(std::shared_ptr<CallerSession> Self);
  asynckit::awaitable<bool> writeOne();

  CallerRequest takeHead();
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
  /// Limits how long the caller may be idle or take to send a request.
  asynckit::Deadline Timer_;
  ExchangeQueue<RequestExchange> Queue_;
  asynckit::AutoResetEvent ReaderWakeup_;
  asynckit::AutoResetEvent WriterWakeup_;
  /// Whether a request is being received.
  bool IsReceiving_ = false;
  /// Whether the request that was read last is the last one.
  bool HasReadLast_ = false;
  /// Whether the response that is being written closes the connection.
  bool IsClosing_ = false;
  bool IsOver_ = false;
};

} // namespace ebony::vm

#endif
