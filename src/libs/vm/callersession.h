#ifndef EBONY_VM_CALLERSESSION_H
#define EBONY_VM_CALLERSESSION_H

#include "traffic/attempttally.h"
#include "vm/asyncdispatcher.h"
#include "vm/disconnectwatcher.h"
#include "vm/quotaadmission.h"
#include "vm/requestoutcome.h"
#include "vm/requestreader.h"
#include "vm/responsewriter.h"
#include "vm/upstreamattempt.h"

#include <boost/intrusive/list.hpp>

namespace ebony::vm {

/// A connection of a caller. Reads its requests one at a time and answers each.
class CallerSession
    : public std::enable_shared_from_this<CallerSession>,
      public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
  CallerSession(VmState &State, AsyncDispatcher &Dispatcher,
                QuotaAdmission &Admission, boost::asio::ip::tcp::socket Socket);
  ~CallerSession();

  /// Serves the connection until it ends. A coroutine starts later than it is
  /// created, so \p Self keeps the session alive.
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
  asynckit::awaitable<void> relay(UpstreamAttempt &Attempt);

  AttemptOptions attemptOptions(const PlacedJob &Chosen,
                                const traffic::RouteSettings &Route);
  void handleDisconnect();
  void logOutcome();

  VmState &State_;
  AsyncDispatcher &AsyncDispatcher_;
  QuotaAdmission &Admission_;
  boost::asio::ip::tcp::socket Socket_;
  RequestReader Reader_;
  ResponseWriter Writer_;
  std::shared_ptr<DisconnectWatcher> DisconnectWatcher_;
  asynckit::Deadline Timer_;
  CallerRequest Request_;
  RequestOutcome Outcome_;
  std::shared_ptr<UpstreamAttempt> Attempt_;
  traffic::JobId JobId_ = 0;
  /// Attempts of the current request.
  std::optional<traffic::AttemptTally> Tally_;
  bool IsIdle_ = true;
  bool KeepsOpen_ = true;
};

} // namespace ebony::vm

#endif
