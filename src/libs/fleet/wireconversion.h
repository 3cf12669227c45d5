#ifndef EBONY_FLEET_WIRECONVERSION_H
#define EBONY_FLEET_WIRECONVERSION_H

#include "base/vmidentity.h"
#include "config/changeset.h"
#include "config/recordset.h"
#include "fleet/memberlist.h"
#include "wire/generated/ebony_types.h"

#include <vector>

namespace ebony::fleet {

wire::VmIdentity toWire(const base::VmIdentity &Vm);
base::VmIdentity fromWire(const wire::VmIdentity &Vm);

wire::ChangeSet toWire(const config::ChangeSet &Change);
config::ChangeSet fromWire(const wire::ChangeSet &Change);

wire::Snapshot toWire(const config::RecordSet &Records);
config::RecordSet fromWire(const wire::Snapshot &Snapshot);

std::vector<wire::Member> toWire(const MemberList &Members);
MemberList fromWire(std::int64_t Version,
                    const std::vector<wire::Member> &Members);

} // namespace ebony::fleet

#endif
