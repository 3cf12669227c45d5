#ifndef EBONY_TESTS_QUOTA_FLEETSCHEDULE_H
#define EBONY_TESTS_QUOTA_FLEETSCHEDULE_H

#include "base/randomengine.h"
#include "quota/quotaledger.h"
#include "quota/zonesettlement.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace ebony::quota::tests {

/// Simulates a small fleet under one random schedule: messages are delayed,
/// lost, duplicated and reordered; VMs pause, crash, stop and restart; zones
/// are cut off from each other; the table fails and loses answers; limits
/// change.
class FleetSchedule {
public:
  explicit FleetSchedule(std::uint64_t Seed);

  /// Runs \p Steps steps. Returns the first violated property, or an empty
  /// string.
  std::string run(int Steps);

  std::int64_t admitted() const { return Admitted_; }
  std::int64_t settlements() const { return Settlements_; }
  std::int64_t loans() const { return Loans_; }
  std::int64_t transfers() const { return Transfers_; }

private:
  using Message = std::variant<TransferGrant, LoanRequest, LoanGrant,
                               LoanReturn, AccountStatement>;

  struct Row {
    std::int64_t Version_ = 0;
    ZoneAllotment Allotment_{{}, {}};
  };

  struct VmState {
    base::VmIdentity Id_;
    std::int64_t OffsetMicros_ = 0;
    std::int64_t DriftPpm_ = 0;
    bool IsPaused_ = false;
    std::unique_ptr<QuotaLedger> Ledger_;
    std::unique_ptr<ZoneSettlement> Settlement_;
    Row KnownRow_;
  };

  std::int64_t randomBelow(std::int64_t Limit);
  base::TimePoint clockOf(const VmState &Vm) const;
  std::size_t zoneOf(const VmState &Vm) const;
  VmState &anyVm();
  bool isUp(const VmState &Vm) const { return Vm.Ledger_ && !Vm.IsPaused_; }
  void start(VmState &Vm);
  void advanceTime();
  void admitSome();
  void drainAll();
  void transferSome();
  void requestLoan();
  void renewLoan();
  void returnLoan();
  void deliver();
  void readRow();
  void applyRow(VmState &Vm);
  void claimDeparted();
  void settle();
  void stopOrCrash();
  void changeLimits();
  void toggleFault();
  void receive(VmState &To, const Message &Received);
  void write(std::size_t Zone, std::int64_t Version, const ZoneAllotment &New);
  bool isLive(const base::VmIdentity &Id) const;
  void refillFleetTokens();
  std::string findViolation();

  base::RandomEngine Random_;
  std::int64_t TimeDivisor_;
  std::int64_t NowMicros_ = 0;
  std::int64_t NextIncarnation_ = 1;
  std::vector<VmState> Vms_;
  std::vector<Row> Rows_;
  std::vector<Message> InFlight_;
  std::vector<QuotaLimits> Limits_;
  bool AreZonesCut_ = false;
  bool IsTableDown_ = false;
  double FleetTokens_;
  std::int64_t FleetRefilledMicros_ = 0;
  std::int64_t Admitted_ = 0;
  std::int64_t Settlements_ = 0;
  std::int64_t Loans_ = 0;
  std::int64_t Transfers_ = 0;
};

} // namespace ebony::quota::tests

#endif
