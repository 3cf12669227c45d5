#ifndef EBONY_VM_QUOTAPLANCODEC_H
#define EBONY_VM_QUOTAPLANCODEC_H

#include "traffic/quotaplan.h"

#include <optional>
#include <string>

namespace ebony::vm {

/// Table in which the VMs of the fleet register and keep the quota plan.
constexpr const char *VmTableName = "vms";

/// Encodes the plan as the text of its row: a line with the version, a line
/// with the names of the VMs, and a line for each customer with six hexadecimal
/// digits per VM, which are the share and the transition share, rounded down to
/// multiples of 1/4095.
std::string encodeQuotaPlan(const traffic::QuotaPlan &Plan);

/// Decodes the text of a row. Returns std::nullopt if it is malformed.
std::optional<traffic::QuotaPlan> decodeQuotaPlan(const std::string &Text);

} // namespace ebony::vm

#endif
