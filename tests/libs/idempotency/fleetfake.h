#ifndef EBONY_TESTS_IDEMPOTENCY_FLEETFAKE_H
#define EBONY_TESTS_IDEMPOTENCY_FLEETFAKE_H

#include "libs/idempotency/callerfake.h"
#include "libs/idempotency/vmfake.h"

#include <memory>
#include <vector>

namespace ebony::tests {

/// Entry VMs, callers, upstreams and a table service under one schedule of
/// faults.
class FleetFake {
public:
  static constexpr base::Duration EpochSpan = std::chrono::milliseconds(400);

  FleetFake(std::uint64_t Seed, Faults Rates);

  /// Runs the schedule; returns what the callers and the ledger saw.
  Tally run();

  /// What each kind of caller saw, after run().
  const std::vector<Tally> &byKind() const { return ByKind_; }

  const Faults &rates() const { return Rates_; }
  EventQueue &events() { return Events_; }
  UpstreamFake &upstream() { return Upstream_; }
  TableFake &table() { return Table_; }
  const idempotency::OwnerDirectory &directory() const { return Directory_; }

  /// A session that a look-up hands out now.
  idempotency::RequestSession lookUp();

  /// A caller's submission through some VM.
  void submit(const Job &One);

  /// A submission passed to the VM at \p Address; \p Broken when its
  /// connection fails after bytes left, \p Failed when it cannot be opened.
  void deliver(const base::VmAddress &Address, const Job &One,
               const EventQueue::Event &Broken,
               const EventQueue::Event &Failed);
  void handOver(const idempotency::Handover &Offer,
                const std::function<void(idempotency::HandoverReply)> &Answered,
                const EventQueue::Event &Failed);

  /// A VM other than \p Self, as a stopping VM sees them.
  idempotency::SubmissionOwner peerOf(const idempotency::SubmissionOwner &Self);
  void notify(const idempotency::SubmissionOwner &Successor,
              const idempotency::CompletionNotice &Notice);

  /// Ends the VM \p Gone; a new incarnation takes its address.
  void replace(const idempotency::SubmissionOwner &Gone);

private:
  static constexpr std::size_t VmCount = 4;

  void start(std::size_t Slot);
  void planStops();
  void stopSlot(std::size_t Slot);
  std::size_t slotOf(const base::VmAddress &Address) const;
  base::Duration delay();
  std::function<void(const Reply &)>
  answerOver(const std::function<void(const Reply &)> &Done);

  Faults Rates_;
  base::RandomEngine Random_;
  EventQueue Events_;
  UpstreamFake Upstream_;
  TableFake Table_;
  idempotency::OwnerDirectory Directory_;
  std::vector<std::unique_ptr<VmFake>> All_;
  std::vector<VmFake *> Present_;
  std::vector<std::unique_ptr<CallerFake>> Callers_;
  std::vector<Tally> ByKind_;
};

} // namespace ebony::tests

#endif
