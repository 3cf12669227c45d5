#include "vm/quotaadmission.h"

namespace ebony::vm {

namespace {

// Number of VMs asked for one request, and timeout of each answer: a round trip
// to another region with a margin.
constexpr std::size_t MaxLendersAsked = 3;
constexpr base::Duration AnswerTimeout = std::chrono::milliseconds(120);

// Minimum time for which a VM without tokens is not asked again; bounds the
// token requests for a customer that exceeds its rate.
constexpr base::Duration MinEmptyLenderDelay = std::chrono::milliseconds(100);

// The same for a VM that does not answer or does not trust its quota plan.
constexpr base::Duration UnavailableLenderDelay =
    std::chrono::milliseconds(500);

} // namespace

QuotaAdmission::QuotaAdmission(VmState &State, AskSender Ask)
    : State_(State), SendAsk_(std::move(Ask)),
      Lenders_(State.Settings_.Name_, State.Settings_.Region_) {}

asynckit::awaitable<std::optional<base::Duration>>
QuotaAdmission::admit(base::CustomerName Customer) {
  const auto LocalDelay = State_.Quota_.acquireToken(Customer, State_.now());
  if (!LocalDelay)
    co_return std::nullopt;
  std::vector<std::string> Asked;
  while (Asked.size() < MaxLendersAsked) {
    const auto Vm = Lenders_.selectNext(State_.Quota_.plan(), State_.Members_,
                                        Customer, Asked, State_.now());
    if (!Vm)
      break;
    Asked.push_back(*Vm);
    const auto Answer = co_await ask(*Vm, Customer);
    if (Answer && Answer->IsGranted_)
      co_return std::nullopt;
    Lenders_.recordEmpty(
        Customer, *Vm,
        State_.now() + (Answer ? std::max(Answer->Pause_, MinEmptyLenderDelay)
                               : UnavailableLenderDelay));
  }
  co_return std::min(*LocalDelay,
                     Lenders_.retryDelay(Customer, State_.now(), *LocalDelay));
}

peers::TokenAnswer QuotaAdmission::answerAsk(const peers::TokenAsk &Ask) {
  peers::TokenAnswer Result;
  Result.Id_ = Ask.Id_;
  const base::TimePoint Now = State_.now();
  // Without a recent confirmation of the plan, the share may belong to another
  // VM by now.
  if (!State_.PlanTrust_.isFresh(Now) || State_.IsStopping_) {
    Result.Pause_ = UnavailableLenderDelay;
    return Result;
  }
  const auto Pause = State_.Quota_.lendToken(Ask.Customer_, Now);
  Result.IsGranted_ = !Pause;
  Result.Pause_ = Pause.value_or(base::Duration::zero());
  return Result;
}

void QuotaAdmission::receiveAnswer(const peers::TokenAnswer &Answer) {
  const auto Entry = PendingAsks_.find(Answer.Id_);
  if (Entry == PendingAsks_.end())
    return;
  Entry->second->Answer_ = Answer;
  Entry->second->Wakeup_.notify();
}

asynckit::awaitable<std::optional<peers::TokenAnswer>>
QuotaAdmission::ask(std::string Vm, base::CustomerName Customer) {
  const auto Waiting = std::make_shared<PendingAsk>(State_);
  const std::int64_t Id = ++LastId_;
  PendingAsks_[Id] = Waiting;
  Waiting->Timeout_.arm(
      State_.now() + AnswerTimeout,
      [Waiting = Waiting.get()] { Waiting->Wakeup_.notify(); });
  SendAsk_(Vm, {Id, Customer});
  co_await Waiting->Wakeup_.wait();
  Waiting->Timeout_.disarm();
  PendingAsks_.erase(Id);
  co_return Waiting->Answer_;
}

} // namespace ebony::vm
