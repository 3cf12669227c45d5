#include "vm/tokendesk.h"

namespace ebony::vm {

namespace {

// VMs that are asked for one request, and time for each answer: a round trip
// to another region with room.
constexpr std::size_t MostAsked = 3;
constexpr base::Duration AnswerTimeOut = std::chrono::milliseconds(120);

// Least time for which a VM that has nothing is not asked again; bounds the
// questions about a customer that presses beyond its rate.
constexpr base::Duration LeastPause = std::chrono::milliseconds(100);

// The same for a VM that gave no answer.
constexpr base::Duration SilentPause = std::chrono::milliseconds(500);

} // namespace

TokenDesk::TokenDesk(VmState &State, Asker Ask)
    : State_(State), Ask_(std::move(Ask)),
      Lenders_(State.Settings_.Name_, State.Settings_.Region_) {}

asynckit::awaitable<std::optional<base::Duration>>
TokenDesk::admit(base::CustomerName Customer) {
  const auto Own = State_.Quota_.acquireToken(Customer, State_.now());
  if (!Own)
    co_return std::nullopt;
  std::vector<std::string> Asked;
  while (Asked.size() < MostAsked) {
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
        State_.now() +
            (Answer ? std::max(Answer->Pause_, LeastPause) : SilentPause));
  }
  co_return std::min(*Own, Lenders_.retryDelay(Customer, State_.now(), *Own));
}

peers::TokenAnswer TokenDesk::answer(const peers::TokenAsk &Ask) {
  peers::TokenAnswer Result;
  Result.Id_ = Ask.Id_;
  const base::TimePoint Now = State_.now();
  // Without news of the plan the share may be another VM's by now.
  if (!State_.PlanTrust_.isFresh(Now) || State_.IsStopping_) {
    Result.Pause_ = SilentPause;
    return Result;
  }
  const auto Pause = State_.Quota_.lendToken(Ask.Customer_, Now);
  Result.IsGranted_ = !Pause;
  Result.Pause_ = Pause.value_or(base::Duration::zero());
  return Result;
}

void TokenDesk::takeAnswer(const peers::TokenAnswer &Answer) {
  const auto Entry = Pending_.find(Answer.Id_);
  if (Entry == Pending_.end())
    return;
  Entry->second->Answer_ = Answer;
  Entry->second->Wake_.notify();
}

asynckit::awaitable<std::optional<peers::TokenAnswer>>
TokenDesk::ask(std::string Vm, base::CustomerName Customer) {
  const auto Own = std::make_shared<Pending>(State_);
  const std::int64_t Id = ++LastId_;
  Pending_[Id] = Own;
  Own->Limit_.arm(State_.now() + AnswerTimeOut,
                  [Own = Own.get()] { Own->Wake_.notify(); });
  Ask_(Vm, {Id, Customer});
  co_await Own->Wake_.wait();
  Own->Limit_.disarm();
  Pending_.erase(Id);
  co_return Own->Answer_;
}

} // namespace ebony::vm
