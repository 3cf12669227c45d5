#include "trust/keygenerator.h"

#include "trust/keyhash.h"

namespace ebony::trust {

namespace {

std::string toHex(const std::uint8_t *Bytes, std::size_t Count) {
  constexpr char Digits[] = "0123456789abcdef";
  std::string Text;
  Text.reserve(2 * Count);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Text += Digits[Bytes[Index] >> 4];
    Text += Digits[Bytes[Index] & 15];
  }
  return Text;
}

} // namespace

GeneratedKey KeyGenerator::generate(const base::CustomerName &Customer,
                                    const RandomBytes &Random) {
  const std::string Id = toHex(Random.data(), IdBytes);
  const std::string Secret = toHex(Random.data() + IdBytes, SecretBytes);
  const std::string Salt =
      toHex(Random.data() + IdBytes + SecretBytes, SaltBytes);
  return {Id + "." + Secret,
          {Id, Customer, Salt, keyHash(Salt, Customer, Secret)}};
}

} // namespace ebony::trust
