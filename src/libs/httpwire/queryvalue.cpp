#include "httpwire/queryvalue.h"

#include <Poco/URI.h>

namespace ebony::httpwire {

namespace {

// Encoded besides the characters that no URL may hold.
constexpr const char *ReservedCharacters = "!?#/'\",;:$&()[]*+=@";

} // namespace

std::string encodeQueryValue(const std::string &Bytes) {
  std::string Encoded;
  Poco::URI::encode(Bytes, ReservedCharacters, Encoded);
  return Encoded;
}

} // namespace ebony::httpwire
