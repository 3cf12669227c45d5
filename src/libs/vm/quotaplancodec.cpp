#include "vm/quotaplancodec.h"

#include <array>
#include <cmath>
#include <cstdio>
#include <set>
#include <sstream>
#include <vector>

namespace ebony::vm {

namespace {

// Shares are encoded as multiples of 1/4095, rounded down so that their sum
// cannot exceed 1. With three digits per share, the row of 80 VMs and 80
// customers stays below the limit of 64 KiB.
constexpr double ShareSteps = 4095;
constexpr std::size_t DigitsPerShare = 3;
constexpr std::size_t DigitsPerVm = 2 * DigitsPerShare;

void appendShare(std::string &Text, double Share) {
  std::array<char, 8> Digits{};
  std::snprintf(Digits.data(), Digits.size(), "%03x",
                static_cast<unsigned>(std::floor(Share * ShareSteps)));
  Text += Digits.data();
}

/// Decodes three hexadecimal digits. Returns std::nullopt for any other text.
std::optional<double> readShare(const std::string &Text, std::size_t Offset) {
  unsigned Value = 0;
  for (std::size_t I = 0; I < DigitsPerShare; ++I) {
    const char Digit = Text[Offset + I];
    if (Digit >= '0' && Digit <= '9')
      Value = Value * 16 + static_cast<unsigned>(Digit - '0');
    else if (Digit >= 'a' && Digit <= 'f')
      Value = Value * 16 + 10 + static_cast<unsigned>(Digit - 'a');
    else
      return std::nullopt;
  }
  return Value / ShareSteps;
}

} // namespace

std::string encodeQuotaPlan(const traffic::QuotaPlan &Plan) {
  std::string Text = std::to_string(Plan.Version_) + "\n";
  for (const std::string &Vm : Plan.Vms_)
    Text += Vm + " ";
  Text += "\n";
  for (const auto &[Customer, Shares] : Plan.Customers_) {
    Text += Customer.text() + " ";
    for (const std::string &Vm : Plan.Vms_) {
      const auto Share = Shares.find(Vm);
      const bool HasShare = Share != Shares.end();
      appendShare(Text, HasShare ? Share->second.Share_ : 0);
      appendShare(Text, HasShare ? Share->second.TransitionShare_ : 0);
    }
    Text += "\n";
  }
  return Text;
}

std::optional<traffic::QuotaPlan> decodeQuotaPlan(const std::string &Text) {
  std::istringstream Stream(Text);
  std::string Line;
  traffic::QuotaPlan Plan;
  if (!(Stream >> Plan.Version_) || Plan.Version_ < 1 ||
      !std::getline(Stream, Line) || !std::getline(Stream, Line))
    return std::nullopt;
  std::istringstream Names(Line);
  std::vector<std::string> Vms;
  std::string Word;
  while (Names >> Word)
    Vms.push_back(Word);
  Plan.Vms_ = {Vms.begin(), Vms.end()};
  std::string Digits;
  while (Stream >> Word) {
    if (!(Stream >> Digits) || Digits.size() != Vms.size() * DigitsPerVm)
      return std::nullopt;
    traffic::QuotaShares &Shares = Plan.Customers_[base::CustomerName(Word)];
    for (std::size_t I = 0; I < Vms.size(); ++I) {
      const auto Share = readShare(Digits, I * DigitsPerVm);
      const auto TransitionShare =
          readShare(Digits, I * DigitsPerVm + DigitsPerShare);
      if (!Share || !TransitionShare || *TransitionShare > *Share)
        return std::nullopt;
      // The line has an entry for each VM, including those without a share.
      if (*Share > 0)
        Shares[Vms[I]] = {*Share, *TransitionShare};
    }
  }
  return Plan;
}

} // namespace ebony::vm
