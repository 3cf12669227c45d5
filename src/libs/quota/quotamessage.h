#ifndef EBONY_QUOTA_QUOTAMESSAGE_H
#define EBONY_QUOTA_QUOTAMESSAGE_H

#include "quota/loangrant.h"
#include "quota/loanrequest.h"
#include "quota/loanreturn.h"
#include "quota/transfergrant.h"
#include "quota/transferrequest.h"

#include <variant>

namespace ebony::quota {

/// Message between two VMs about one customer's quota.
using QuotaMessage = std::variant<TransferRequest, TransferGrant, LoanRequest,
                                  LoanGrant, LoanReturn>;

/// Returns the route of \p Message, whichever type it holds.
inline const QuotaRoute &routeOf(const QuotaMessage &Message) {
  return std::visit(
      [](const auto &Content) -> const QuotaRoute & { return Content.route(); },
      Message);
}

} // namespace ebony::quota

#endif
