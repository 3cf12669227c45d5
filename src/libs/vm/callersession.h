#ifndef EBONY_VM_CALLERSESSION_H
#define EBONY_VM_CALLERSESSION_H

#include "traffic/attempttally.h"
#include "vm/answerwriter.h"
#include "vm/callerwatch.h"
#include "vm/dispatchdesk.h"
#include "vm/exchange.h"
#include "vm/requestoutcome.h"
#include "vm/requestreader.h"
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
  asynckit::awaitable<void> serveAll();
  asynckit::awaitable<bool> readHead();
  asynckit::awaitable<bool> readBody();
  asynckit::awaitable<void> serve();
  asynckit::awaitable<void> forward(std::unique_ptr<traffic::Job> Job,
                                    const traffic::RouteSettings &Route);
  asynckit::awaitable<void> refuse(unsigned Status, std::string Reason,
                                   base::Duration RetryAfter);
  asynckit::awaitable<void> relay(Exchange &Answer);

  ExchangeTerms termsFor(const Turn &Chosen,
                         const traffic::RouteSettings &Route);
  void noteGone();
  void logOutcome();

  VmState &State_;
  DispatchDesk &Desk_;
  TokenDesk &Tokens_;
  boost::asio::ip::tcp::socket Socket_;
  RequestReader Reader_;
  AnswerWriter Writer_;
  std::shared_ptr<CallerWatch> Watch_;
  asynckit::Deadline Timer_;
  CallerRequest Request_;
  RequestOutcome Outcome_;
  std::shared_ptr<Exchange> Attempt_;
  traffic::JobId JobId_ = 0;
  /// Of the request that is being served.
  std::optional<traffic::AttemptTally> Tally_;
  bool IsIdle_ = true;
  bool KeepsOpen_ = true;
};

} // namespace ebony::vm

#endif
