#ifndef EBONY_PEERS_DATAGRAMCODEC_H
#define EBONY_PEERS_DATAGRAMCODEC_H

#include "peers/tablenews.h"
#include "peers/tokenmessages.h"
#include "traffic/memberreport.h"

#include <string>
#include <variant>

namespace ebony::peers {

/// What a datagram carries; nothing when it is malformed.
using Datagram = std::variant<std::monostate, traffic::MemberReport, TableNews,
                              TokenAsk, TokenAnswer>;

/// The report as one datagram in Thrift's compact form.
std::string encode(const traffic::MemberReport &Report);

/// The news as one datagram.
std::string encode(const TableNews &News);

std::string encode(const TokenAsk &Ask);
std::string encode(const TokenAnswer &Answer);

Datagram decode(const std::string &Bytes);

} // namespace ebony::peers

#endif
