#include "idempotency/claim.h"

#include "idempotency/hexnumber.h"

namespace ebony::idempotency {

std::string ClaimRow::text() const {
  return Owner_.address().text() + " " +
         toHex(static_cast<std::uint64_t>(Owner_.incarnation())) + " " +
         toHex(Number_);
}

std::optional<ClaimRow> ClaimRow::parse(std::string_view Text) {
  const std::size_t First = Text.find(' ');
  const std::size_t Last = Text.rfind(' ');
  if (First == std::string_view::npos || First == Last || First == 0)
    return std::nullopt;
  const auto Incarnation = fromHex(Text.substr(First + 1, Last - First - 1));
  const auto Number = fromHex(Text.substr(Last + 1));
  if (!Incarnation || !Number)
    return std::nullopt;
  return ClaimRow(
      SubmissionOwner(base::VmAddress(std::string(Text.substr(0, First))),
                      static_cast<base::Incarnation>(*Incarnation)),
      *Number);
}

// The length of the customer's name prevents collisions between keys of
// customers whose names contain the separator.
std::string claimRowKey(const std::string &Customer,
                        const std::string &CallerText) {
  return "claims/" + std::to_string(Customer.size()) + "/" + Customer + "/" +
         CallerText;
}

} // namespace ebony::idempotency
