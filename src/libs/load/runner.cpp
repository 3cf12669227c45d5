#include "load/runner.h"

#include "load/requestsender.h"

#include <atomic>
#include <thread>

namespace ebony::load {

std::vector<RequestRecord> Runner::run(const std::vector<Arrival> &Arrivals) {
  HttpCaller Caller;
  LookupCache Lookups(Fleet_, Caller, Clock_);
  const base::TimePoint Start = Clock_.now();
  RequestSender Sender(Fleet_, Workload_, Caller, Lookups, Clock_, Start);
  std::vector<RequestRecord> Records(Arrivals.size());
  std::atomic<std::size_t> Next{0};
  const auto Work = [&] {
    for (std::size_t Index = Next++; Index < Arrivals.size(); Index = Next++) {
      const base::Duration Wait = Start + Arrivals[Index].When_ - Clock_.now();
      if (Wait > base::Duration::zero())
        std::this_thread::sleep_for(Wait);
      Records[Index] = Sender.send(Arrivals[Index]);
    }
  };
  std::vector<std::thread> Workers;
  Workers.reserve(static_cast<std::size_t>(Workload_.Workers_));
  for (int Worker = 0; Worker < Workload_.Workers_; ++Worker)
    Workers.emplace_back(Work);
  for (std::thread &Worker : Workers)
    Worker.join();
  return Records;
}

} // namespace ebony::load
