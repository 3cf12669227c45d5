#include "vm/quotaplantext.h"

#include <array>
#include <cstdio>
#include <sstream>

namespace ebony::vm {

std::string encodeQuotaPlan(const traffic::QuotaPlan &Plan) {
  std::string Text = std::to_string(Plan.Version_) + "\n";
  for (const auto &[Customer, Shares] : Plan.Customers_)
    for (const auto &[Vm, Share] : Shares) {
      std::array<char, 48> Figures{};
      std::snprintf(Figures.data(), Figures.size(), "%.6f %.6f", Share.Share_,
                    Share.Safe_);
      Text += Customer.text() + " " + Vm + " " + Figures.data() + "\n";
    }
  return Text;
}

std::optional<traffic::QuotaPlan> decodeQuotaPlan(const std::string &Text) {
  std::istringstream Stream(Text);
  traffic::QuotaPlan Plan;
  if (!(Stream >> Plan.Version_) || Plan.Version_ < 1)
    return std::nullopt;
  std::string Customer;
  std::string Vm;
  traffic::QuotaShareOfVm Share;
  while (Stream >> Customer) {
    if (!(Stream >> Vm >> Share.Share_ >> Share.Safe_) || Share.Share_ < 0 ||
        Share.Share_ > 1 || Share.Safe_ < 0 || Share.Safe_ > Share.Share_)
      return std::nullopt;
    Plan.Customers_[base::CustomerName(Customer)][Vm] = Share;
  }
  return Plan;
}

} // namespace ebony::vm
