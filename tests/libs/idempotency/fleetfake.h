#ifndef EBONY_TESTS_IDEMPOTENCY_FLEETFAKE_H
#define EBONY_TESTS_IDEMPOTENCY_FLEETFAKE_H

#include "libs/idempotency/callerfake.h"
#include "libs/idempotency/vmfake.h"

#include <memory>
#include <vector>

namespace ebony::tests {

/// Simulated entry VMs, callers, upstreams and table service under one seeded
/// schedule of faults.
class FleetFake {
public:
  static constexpr base::Duration EpochSpan = std::chrono::milliseconds(400);

  FleetFake(std::uint64_t Seed, Faults Rates);

  /// Runs the schedule and returns the outcomes of all callers.
  Tally run();

  /// Returns the outcomes for each kind of caller after run().
  const std::vector<Tally> &byKind() const { return ByKind_; }

  const Faults &rates() const { return Rates_; }
  EventQueue &events() { return Events_; }
  UpstreamFake &upstream() { return Upstream_; }
  TableFake &table() { return Table_; }
  const idempotency::HolderDirectory &directory() const { return Directory_; }

  /// Returns a session as a look-up hands it out now.
  idempotency::RequestSession lookUp();

  /// Sends the submission of a caller to a random VM.
  void submit(const SubmissionTask &Task);

  /// Sends a forwarded submission to the VM at \p Address. Calls \p Broken if
  /// the connection fails after bytes were sent, \p Failed if it cannot be
  /// opened.
  void deliverSubmission(const base::VmAddress &Address,
                         const SubmissionTask &Task,
                         const EventQueue::Event &Broken,
                         const EventQueue::Event &Failed);
  void handOver(const idempotency::Handover &Offer,
                const std::function<void(idempotency::HandoverReply)> &Answered,
                const EventQueue::Event &Failed);

  /// Returns a random VM other than \p Self.
  idempotency::SubmissionOwner peerOf(const idempotency::SubmissionOwner &Self);
  void deliverCompletion(const idempotency::SubmissionOwner &Successor,
                         const idempotency::CompletionNotice &Notice);

  /// Ends the VM \p Gone and starts a new incarnation at its address.
  void replace(const idempotency::SubmissionOwner &Gone);

private:
  static constexpr std::size_t VmCount = 4;

  void start(std::size_t Slot);
  void planStops();
  void stopSlot(std::size_t Slot);
  std::size_t slotOf(const base::VmAddress &Address) const;
  base::Duration delay();
  std::function<void(const Reply &)>
  lossyReply(const std::function<void(const Reply &)> &Done);

  Faults Rates_;
  base::RandomEngine Random_;
  EventQueue Events_;
  UpstreamFake Upstream_;
  TableFake Table_;
  idempotency::HolderDirectory Directory_;
  std::vector<std::unique_ptr<VmFake>> Incarnations_;
  std::vector<VmFake *> Running_;
  std::vector<std::unique_ptr<CallerFake>> Callers_;
  std::vector<Tally> ByKind_;
};

} // namespace ebony::tests

#endif
