#ifndef EBONY_VM_CALLERSESSION_H
#define EBONY_VM_CALLERSESSION_H

#include "vm/callerwatch.h"
#include "vm/dispatchdesk.h"
#include "vm/exchange.h"
#include "vm/requestoutcome.h"
#include "vm/tokendesk.h"

#include <boost/intrusive/list.hpp>

namespace ebony::vm {

/// One connection of a caller: reads its requests one after the other and
/// answers each.
class CallerSession
    : public std::enable_shared_from_this<CallerSession>,
      public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
  CallerSession(VmState &State, DispatchDesk &Desk, TokenDesk &Tokens,
                boost::asio::ip::tcp::socket Socket);
  ~CallerSession();

  /// Serves the connection until it ends. A coroutine starts later than it is
  /// made, so it has to hold the session itself.
  static asynckit::awaitable<void> run(std::shared_ptr<CallerSession> Self);

  bool isIdle() const { return IsIdle_; }
  void close();

private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::buffer_body>;
  using Fields = boost::beast::http::fields;

  asynckit::awaitable<void> serveAll();
  asynckit::awaitable<bool> readHead();
  asynckit::awaitable<bool> readBody();
  asynckit::awaitable<bool> readPiece(std::string &Piece);
  asynckit::awaitable<std::optional<std::string>> nextPiece();
  asynckit::awaitable<void> serve();
  asynckit::awaitable<void> forward(std::unique_ptr<traffic::Job> Job,
                                    const traffic::RouteTerms &Route);
  asynckit::awaitable<void> refuse(unsigned Status, std::string Reason,
                                   base::Duration RetryAfter);
  asynckit::awaitable<void> relay(Exchange &Answer);
  asynckit::awaitable<bool> send(const std::string &Bytes);

  std::unique_ptr<traffic::Job> makeJob(const traffic::TrafficRules &Rules,
                                        const traffic::RouteTerms &Route,
                                        const traffic::CustomerTerms *Customer);
  bool mayRepeat(const traffic::Job &Job, const traffic::RouteTerms &Route,
                 traffic::AttemptResult Result);
  ExchangeTerms termsFor(const Turn &Chosen, const traffic::RouteTerms &Route);
  bool mayGiveUp(const traffic::Job &Job, const traffic::RouteTerms &Route);
  void noteGone();
  void logOutcome();

  VmState &State_;
  DispatchDesk &Desk_;
  TokenDesk &Tokens_;
  boost::asio::ip::tcp::socket Socket_;
  std::shared_ptr<CallerWatch> Watch_;
  asynckit::Deadline Timer_;
  boost::beast::flat_buffer Buffer_;
  std::optional<Parser> Parser_;
  CallerRequest Request_;
  RequestOutcome Outcome_;
  std::shared_ptr<Exchange> Attempt_;
  traffic::JobId JobId_ = 0;
  int Attempts_ = 0;
  bool MayHaveRun_ = false;
  /// Whether the budget was charged for the next attempt already.
  bool IsRepeatPaid_ = false;
  bool IsIdle_ = true;
  bool KeepsOpen_ = true;
};

} // namespace ebony::vm

#endif
