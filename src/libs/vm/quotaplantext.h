#ifndef EBONY_VM_QUOTAPLANTEXT_H
#define EBONY_VM_QUOTAPLANTEXT_H

#include "traffic/quotaplan.h"

#include <optional>
#include <string>

namespace ebony::vm {

/// Table in which the VMs of the fleet list themselves and keep the plan.
constexpr const char *VmTableName = "vms";

/// The plan as the text of its row: a version, then one line for each customer
/// and VM with the share and the safe share.
std::string encodeQuotaPlan(const traffic::QuotaPlan &Plan);

/// Reads the text of a row; nothing when it is malformed.
std::optional<traffic::QuotaPlan> decodeQuotaPlan(const std::string &Text);

} // namespace ebony::vm

#endif
