#ifndef EBONY_CONFIGWIRE_MESSAGES_H
#define EBONY_CONFIGWIRE_MESSAGES_H

#include "configagent/pullmessages.h"
#include "configwire/generatedpeer.h"

namespace ebony::configwire {

generated::VmIdentity toWire(const base::VmIdentity &Value);
generated::PullRequest toWire(const configagent::PullRequest &Value);
generated::PullReply toWire(const configagent::PullReply &Value);
generated::IntentRequest toWire(const configagent::IntentRequest &Value);
generated::SnapshotPageRequest
toWire(const configagent::SnapshotPageRequest &Value);
generated::SnapshotPage toWire(const configagent::SnapshotPage &Value);

base::VmIdentity fromWire(const generated::VmIdentity &Value);
configagent::PullRequest fromWire(const generated::PullRequest &Value);
/// Converts a negative age, which is invalid, to zero.
configagent::PullReply fromWire(const generated::PullReply &Value);
configagent::IntentRequest fromWire(const generated::IntentRequest &Value);
configagent::SnapshotPageRequest
fromWire(const generated::SnapshotPageRequest &Value);
configagent::SnapshotPage fromWire(const generated::SnapshotPage &Value);

} // namespace ebony::configwire

#endif
