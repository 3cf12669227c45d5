#include "steering/clientblock.h"

#include <charconv>

namespace ebony::steering {

namespace {

constexpr unsigned KeyBits = 64;
constexpr unsigned MaxIPv4Length = 32;

std::uint64_t hostBits(unsigned Length) {
  return Length >= KeyBits ? 0 : UINT64_MAX >> Length;
}

base::Findings invalidBlock(const std::string &Text) {
  return {{"", "",
           "\"" + Text +
               "\" is no client block; write an address, a slash and a length "
               "of at most 32 (IPv4) or 64 (IPv6) with no bits set past it."}};
}

} // namespace

std::uint64_t ClientBlock::lastKey() const { return Key_ | hostBits(Length_); }

base::Checked<ClientBlock> parseClientBlock(const std::string &Text) {
  const std::size_t Slash = Text.find('/');
  if (Slash == std::string::npos)
    return invalidBlock(Text);
  const auto Address = parseClientAddress(Text.substr(0, Slash));
  unsigned Length = 0;
  const char *End = Text.data() + Text.size();
  const auto [ParsedEnd, Error] =
      std::from_chars(Text.data() + Slash + 1, End, Length);
  if (!Address || Error != std::errc() || ParsedEnd != End)
    return invalidBlock(Text);
  const ClientAddress &Base = Address.value();
  const unsigned Longest =
      Base.Family_ == Family::IPv4 ? MaxIPv4Length : KeyBits;
  if (Length > Longest || (Base.Key_ & hostBits(Length)) != 0)
    return invalidBlock(Text);
  return ClientBlock{.Family_ = Base.Family_,
                     .Key_ = Base.Key_,
                     .Length_ = static_cast<std::uint8_t>(Length)};
}

} // namespace ebony::steering
