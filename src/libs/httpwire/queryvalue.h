#ifndef EBONY_HTTPWIRE_QUERYVALUE_H
#define EBONY_HTTPWIRE_QUERYVALUE_H

#include <string>

namespace ebony::httpwire {

/// Encodes any bytes as a value in the query of a URL, or as one segment of its
/// path. Only the unreserved characters of RFC 3986 stay as they are.
std::string encodeQueryValue(const std::string &Bytes);

} // namespace ebony::httpwire

#endif
