#ifndef EBONY_PEERS_REPORTCODEC_H
#define EBONY_PEERS_REPORTCODEC_H

#include "traffic/memberreport.h"

#include <optional>
#include <string>

namespace ebony::peers {

/// The report as one datagram in Thrift's compact form.
std::string encodeReport(const traffic::MemberReport &Report);

/// Reads a datagram; nothing when it is malformed.
std::optional<traffic::MemberReport> decodeReport(const std::string &Bytes);

} // namespace ebony::peers

#endif
