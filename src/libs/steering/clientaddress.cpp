#include "steering/clientaddress.h"

#include <arpa/inet.h>

#include <array>

namespace ebony::steering {

namespace {

constexpr unsigned BitsPerByte = 8;

template <std::size_t Size>
std::uint64_t bigEndian(const std::array<unsigned char, Size> &Bytes) {
  std::uint64_t Value = 0;
  for (std::size_t Index = 0; Index < sizeof(Value); ++Index)
    Value = Value << BitsPerByte | (Index < Size ? Bytes[Index] : 0);
  return Value;
}

} // namespace

base::Checked<ClientAddress> parseClientAddress(const std::string &Text) {
  std::array<unsigned char, sizeof(in_addr)> IPv4Bytes{};
  if (inet_pton(AF_INET, Text.c_str(), IPv4Bytes.data()) == 1)
    return ClientAddress{.Family_ = Family::IPv4, .Key_ = bigEndian(IPv4Bytes)};
  std::array<unsigned char, sizeof(in6_addr)> IPv6Bytes{};
  if (inet_pton(AF_INET6, Text.c_str(), IPv6Bytes.data()) == 1)
    return ClientAddress{.Family_ = Family::IPv6, .Key_ = bigEndian(IPv6Bytes)};
  return base::Findings{
      {"", "", "\"" + Text + "\" is no IP address; write it in digits."}};
}

} // namespace ebony::steering
