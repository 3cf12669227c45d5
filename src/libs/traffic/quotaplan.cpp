#include "traffic/quotaplan.h"

namespace ebony::traffic {

std::set<std::string> QuotaPlan::holders() const {
  std::set<std::string> Result;
  for (const auto &[Customer, Shares] : Customers_)
    for (const auto &[Vm, Share] : Shares)
      Result.insert(Vm);
  return Result;
}

} // namespace ebony::traffic
