#ifndef EBONY_PEERS_DATAGRAMCODEC_H
#define EBONY_PEERS_DATAGRAMCODEC_H

#include "peers/tablenews.h"
#include "peers/tokenmessages.h"
#include "traffic/memberreport.h"

#include <string>
#include <variant>

namespace ebony::peers {

/// Message in a datagram; std::monostate if the datagram is malformed.
using Datagram = std::variant<std::monostate, traffic::MemberReport, TableNews,
                              TokenAsk, TokenAnswer>;

/// Returns \p Report as one datagram in Thrift's compact protocol.
std::string encode(const traffic::MemberReport &Report);

/// Returns \p News as one datagram.
std::string encode(const TableNews &News);

std::string encode(const TokenAsk &Ask);
std::string encode(const TokenAnswer &Answer);

Datagram decode(const std::string &Bytes);

} // namespace ebony::peers

#endif
