#ifndef EBONY_VM_QUOTAPLANTEXT_H
#define EBONY_VM_QUOTAPLANTEXT_H

#include "traffic/quotaplan.h"

#include <optional>
#include <string>

namespace ebony::vm {

/// Table in which the VMs of the fleet list themselves and keep the plan.
constexpr const char *VmTableName = "vms";

/// The plan as the text of its row: a line with the version, one with the names
/// of the VMs, then one for each customer with six hexadecimal digits a VM:
/// the share and the safe share, rounded down to steps of 1/4095.
std::string encodeQuotaPlan(const traffic::QuotaPlan &Plan);

/// Reads the text of a row; nothing when it is malformed.
std::optional<traffic::QuotaPlan> decodeQuotaPlan(const std::string &Text);

} // namespace ebony::vm

#endif
