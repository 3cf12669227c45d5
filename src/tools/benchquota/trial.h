#ifndef EBONY_BENCHQUOTA_TRIAL_H
#define EBONY_BENCHQUOTA_TRIAL_H

#include "benchquota/scheme.h"
#include "benchquota/workload.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ebony::benchquota {

/// Numbers of requests of one customer.
struct CustomerCount {
  double Rate_ = 0;
  std::int64_t Offered_ = 0;
  std::int64_t Refused_ = 0;
};

/// Results of one trial for the customers that stay within their limits.
struct TrialResult {
  std::int64_t Offered_ = 0;
  std::int64_t Refused_ = 0;
  std::int64_t CutOffered_ = 0;
  std::int64_t CutRefused_ = 0;
  double CutFloor_ = 0;
  std::int64_t Waited_ = 0;
  double LongestWaitMs_ = 0;
  /// Maximum number of requests beyond burst + rate * w in any window, as a
  /// fraction of the burst, over all customers.
  double Excess_ = 0;
  double MessagesPerSecondAndVm_ = 0;
  double BytesPerSecondAndVm_ = 0;
  std::vector<CustomerCount> Customers_;
};

/// Simulates one scheme under one workload in virtual time.
class Trial final : private Network {
public:
  using SchemeFactory = std::function<std::unique_ptr<Scheme>(
      Network &, const quota::QuotaLimits &, std::uint64_t Seed)>;

  Trial(WorkloadSettings Settings, const SchemeFactory &MakeScheme,
        std::uint64_t Seed);
  ~Trial() override;

  TrialResult run();

private:
  struct Customer;
  using Event = std::function<void(base::TimePoint)>;

  void send(std::size_t From, std::size_t To, std::size_t Bytes,
            Event Deliver) override;
  void schedule(base::TimePoint Time, Event Action);
  bool isCutOff(std::size_t Vm) const;
  void submitRequest(Customer &Customer, base::TimePoint Now);
  void scheduleArrival(Customer &Customer);
  void tick(base::TimePoint Now);
  void recordDecision(Customer &Customer, std::size_t Vm,
                      base::TimePoint SubmittedAt, bool Admitted,
                      base::TimePoint Now);

  WorkloadSettings Settings_;
  base::TimePoint Now_;
  std::multimap<base::TimePoint, Event> Events_;
  std::vector<std::unique_ptr<Customer>> Customers_;
  std::int64_t Messages_ = 0;
  std::int64_t Bytes_ = 0;
  TrialResult Result_;
};

} // namespace ebony::benchquota

#endif
