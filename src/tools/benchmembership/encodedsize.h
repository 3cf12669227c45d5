#ifndef EBONY_BENCHMEMBERSHIP_ENCODEDSIZE_H
#define EBONY_BENCHMEMBERSHIP_ENCODEDSIZE_H

#include "membership/heartbeatreply.h"
#include "membership/heartbeatrequest.h"

#include <cstddef>

namespace ebony::benchmembership {

/// Returns the size of a message in Thrift's compact protocol in bytes, with
/// frame and call header.
std::size_t encodedSize(const membership::HeartbeatRequest &Request);
std::size_t encodedSize(const membership::HeartbeatReply &Reply);

} // namespace ebony::benchmembership

#endif
