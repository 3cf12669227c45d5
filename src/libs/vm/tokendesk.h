#ifndef EBONY_VM_TOKENDESK_H
#define EBONY_VM_TOKENDESK_H

#include "asynckit/autoresetevent.h"
#include "asynckit/awaiting.h"
#include "peers/tokenmessages.h"
#include "traffic/quotalenders.h"
#include "vm/vmstate.h"

#include <functional>
#include <memory>

namespace ebony::vm {

/// Admits requests of customers by this VM's share, or by what another VM lends
/// of its own.
class TokenDesk {
public:
  /// Sends a question to the VM of that name.
  using Asker =
      std::function<void(const std::string &Vm, const peers::TokenAsk &Ask)>;

  TokenDesk(VmState &State, Asker Ask);

  /// Takes one request of \p Customer; else the time until the next may come.
  asynckit::awaitable<std::optional<base::Duration>>
  admit(base::CustomerName Customer);

  /// Answers another VM's question.
  peers::TokenAnswer answer(const peers::TokenAsk &Ask);

  /// Takes the answer to an own question; a late one is dropped.
  void takeAnswer(const peers::TokenAnswer &Answer);

private:
  struct Pending {
    explicit Pending(VmState &State)
        : Wake_(State.Context_), Limit_(State.Deadlines_) {}

    asynckit::AutoResetEvent Wake_;
    asynckit::Deadline Limit_;
    std::optional<peers::TokenAnswer> Answer_;
  };

  asynckit::awaitable<std::optional<peers::TokenAnswer>>
  ask(std::string Vm, base::CustomerName Customer);

  VmState &State_;
  Asker Ask_;
  traffic::QuotaLenders Lenders_;
  std::map<std::int64_t, std::shared_ptr<Pending>> Pending_;
  std::int64_t LastId_ = 0;
};

} // namespace ebony::vm

#endif
