#ifndef EBONY_TRAFFIC_REQUESTFINGERPRINT_H
#define EBONY_TRAFFIC_REQUESTFINGERPRINT_H

#include <cstdint>
#include <string>

namespace ebony::traffic {

/// Digest of a request's customer, host, target, method and body. Equal for
/// requests with the same content, whatever their ids and connections.
using RequestFingerprint = std::uint64_t;

/// Returns the fingerprint in hexadecimal digits, as it is logged.
std::string toHex(RequestFingerprint Fingerprint);

} // namespace ebony::traffic

#endif
