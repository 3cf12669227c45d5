#ifndef EBONY_VM_QUOTAADMISSION_H
#define EBONY_VM_QUOTAADMISSION_H

#include "asynckit/autoresetevent.h"
#include "asynckit/awaiting.h"
#include "peers/tokenmessages.h"
#include "traffic/quotalenderselector.h"
#include "vm/vmstate.h"

#include <functional>
#include <memory>

namespace ebony::vm {

/// Admits requests of customers against this VM's share of the quota, or
/// against tokens that another VM lends from its share.
class QuotaAdmission {
public:
  /// Sends a token request to the named VM.
  using AskSender =
      std::function<void(const std::string &Vm, const peers::TokenAsk &Ask)>;

  QuotaAdmission(VmState &State, AskSender Ask);

  /// Admits one request of \p Customer. Returns std::nullopt if it is admitted,
  /// else the time after which the next one may be.
  asynckit::awaitable<std::optional<base::Duration>>
  admit(base::CustomerName Customer);

  /// Answers another VM's token request.
  peers::TokenAnswer answerAsk(const peers::TokenAsk &Ask);

  /// Handles the answer to a token request of this VM; late answers are
  /// dropped.
  void receiveAnswer(const peers::TokenAnswer &Answer);

private:
  struct PendingAsk {
    explicit PendingAsk(VmState &State)
        : Wakeup_(State.Context_), Timeout_(State.Deadlines_) {}

    asynckit::AutoResetEvent Wakeup_;
    asynckit::Deadline Timeout_;
    std::optional<peers::TokenAnswer> Answer_;
  };

  asynckit::awaitable<std::optional<peers::TokenAnswer>>
  ask(std::string Vm, base::CustomerName Customer);

  VmState &State_;
  AskSender SendAsk_;
  traffic::QuotaLenderSelector Lenders_;
  std::map<std::int64_t, std::shared_ptr<PendingAsk>> PendingAsks_;
  std::int64_t LastId_ = 0;
};

} // namespace ebony::vm

#endif
