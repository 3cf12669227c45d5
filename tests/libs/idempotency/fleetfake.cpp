#include "libs/idempotency/fleetfake.h"

#include <utility>

namespace ebony::tests {

using namespace idempotency;
using namespace std::chrono_literals;

FleetFake::FleetFake(std::uint64_t Seed, Faults Rates)
    : Rates_(Rates), Random_(Seed),
      Upstream_(Events_, base::RandomEngine(Random_()), Rates),
      Table_(Events_, base::RandomEngine(Random_()), Rates),
      Running_(VmCount, nullptr) {
  for (std::size_t Slot = 0; Slot < VmCount; ++Slot)
    start(Slot);
  for (int Kind = 0; Kind < CallerFake::KindCount; ++Kind)
    Callers_.push_back(std::make_unique<CallerFake>(
        *this, Kind, base::RandomEngine(Random_()), Rates));
}

Tally FleetFake::run() {
  planStops();
  for (auto &Caller : Callers_)
    Events_.after(delay(), [&Caller] { Caller->start(); });
  Events_.runUntil(Events_.now() + 60s);
  Tally Sum;
  for (auto &Caller : Callers_) {
    ByKind_.push_back(Caller->finalTally());
    Sum += ByKind_.back();
  }
  return Sum;
}

void FleetFake::start(std::size_t Slot) {
  const SubmissionOwner Self(
      base::VmAddress("127.1.1." + std::to_string(Slot)),
      static_cast<base::Incarnation>(Incarnations_.size() + 1));
  Incarnations_.push_back(std::make_unique<VmFake>(*this, Self));
  Running_[Slot] = Incarnations_.back().get();
}

void FleetFake::planStops() {
  if (Rates_.PlannedStopsOnly_)
    return Events_.after(std::chrono::milliseconds(100 + Random_.below(1500)),
                         [this] { Running_[0]->stop(Running_[1]->self()); });
  for (std::size_t Slot = 0; Slot < VmCount; ++Slot)
    if (Random_.chance(Rates_.Stops_))
      Events_.after(std::chrono::milliseconds(100 + Random_.below(3000)),
                    [this, Slot] { stopSlot(Slot); });
}

void FleetFake::stopSlot(std::size_t Slot) {
  VmFake *Vm = Running_[Slot];
  if (Random_.chance(0.4))
    return replace(Vm->self());
  Vm->stop(peerOf(Vm->self()));
  // The successor ends at about the same time.
  if (Random_.chance(0.2))
    Events_.after(delay() * 3, [=, this] { replace(peerOf(Vm->self())); });
  if (Random_.chance(0.2))
    Events_.after(delay() * 5, [this, Vm] { replace(Vm->self()); });
}

void FleetFake::replace(const SubmissionOwner &Gone) {
  const std::size_t Slot = slotOf(Gone.address());
  if (Running_[Slot]->self() != Gone || !Running_[Slot]->isAlive())
    return;
  Running_[Slot]->crash();
  Events_.after(delay() * 4, [this, Slot] { start(Slot); });
  Events_.after(150ms, [this, Gone] { Directory_.recordTerminated(Gone); });
}

std::size_t FleetFake::slotOf(const base::VmAddress &Address) const {
  return static_cast<std::size_t>(Address.text().back() - '0');
}

base::Duration FleetFake::delay() {
  return std::chrono::milliseconds(1 + Random_.below(20));
}

RequestSession FleetFake::lookUp() {
  constexpr base::Duration Lag = 100ms;
  VmFake *Vm = Running_[Random_.below(VmCount)];
  for (int Try = 0; Try < 10 && Vm->isStopping(Events_.now() - Lag); ++Try)
    Vm = Running_[Random_.below(VmCount)];
  return {Vm->self(), Vm->store().epoch(Events_.now()), Random_(), Random_()};
}

void FleetFake::submit(const SubmissionTask &Task) {
  const std::size_t Slot = Random_.below(VmCount);
  if (Random_.chance(Rates_.Network_ / 2))
    return;
  // Some copies reach the VM long after the caller has given up.
  const base::Duration Delay =
      Random_.chance(Rates_.Network_) ? 700ms : delay();
  Events_.after(Delay, [=, this] {
    // A caller whose connection is refused tries another VM.
    for (std::size_t Step = 0; Step < VmCount; ++Step) {
      VmFake *Vm = Running_[(Slot + Step) % VmCount];
      if (Vm->isListening())
        return Vm->submit(Task);
    }
  });
}

std::function<void(const Reply &)>
FleetFake::lossyReply(const std::function<void(const Reply &)> &Done) {
  return [=, this](const Reply &Answer) {
    if (!Random_.chance(Rates_.Network_))
      Events_.after(delay(), [=] { Done(Answer); });
  };
}

void FleetFake::deliverSubmission(const base::VmAddress &Address,
                                  const SubmissionTask &Task,
                                  const EventQueue::Event &Broken,
                                  const EventQueue::Event &Failed) {
  const std::size_t Slot = slotOf(Address);
  if (!Running_[Slot]->isAlive() || Random_.chance(Rates_.Network_ / 2))
    return Events_.after(delay(), Failed);
  const auto Finished = std::make_shared<bool>(false);
  SubmissionTask Sent = Task;
  Sent.Done_ = lossyReply([=](const Reply &Answer) {
    if (!std::exchange(*Finished, true))
      Task.Done_(Answer);
  });
  if (!Random_.chance(Rates_.Network_ / 2))
    Events_.after(Random_.chance(Rates_.Network_) ? 500ms : delay(), [=, this] {
      if (Running_[Slot]->isAlive())
        Running_[Slot]->submit(Sent);
    });
  Events_.after(400ms, [=] {
    if (!std::exchange(*Finished, true))
      Broken();
  });
}

void FleetFake::handOver(const Handover &Offer,
                         const std::function<void(HandoverReply)> &Answered,
                         const EventQueue::Event &Failed) {
  const std::size_t Slot = slotOf(Offer.To_.address());
  if (!Running_[Slot]->isAlive())
    return Events_.after(delay(), Failed);
  const int Copies = Random_.chance(4 * Rates_.Network_) ? 2 : 1;
  for (int Copy = 0; Copy < Copies; ++Copy) {
    if (Random_.chance(2 * Rates_.Network_))
      continue;
    Events_.after(delay() + Copy * 900ms, [=, this] {
      if (!Running_[Slot]->isAlive())
        return;
      const auto Reply =
          Running_[Slot]->store().acceptHandover(Offer, Events_.now());
      if (Reply == HandoverReply::Accepted)
        Events_.after(60ms, [=, this] {
          for (const OwnerSnapshot &Owner : Offer.Owners_)
            Directory_.recordSuccessor(Owner.Owner_, Offer.To_);
        });
      if (Copy == 0 && !Random_.chance(2 * Rates_.Network_))
        Events_.after(delay(), [=] { Answered(Reply); });
    });
  }
}

SubmissionOwner FleetFake::peerOf(const SubmissionOwner &Self) {
  const std::size_t Step = 1 + Random_.below(VmCount - 1);
  return Running_[(slotOf(Self.address()) + Step) % VmCount]->self();
}

void FleetFake::deliverCompletion(const SubmissionOwner &Successor,
                                  const CompletionNotice &Notice) {
  const std::size_t Slot = slotOf(Successor.address());
  if (!Random_.chance(Rates_.Network_))
    Events_.after(delay(), [=, this] {
      if (Running_[Slot]->isAlive())
        Running_[Slot]->store().applyCompletion(Notice);
    });
}

} // namespace ebony::tests
