#ifndef EBONY_TRUST_KEYGENERATOR_H
#define EBONY_TRUST_KEYGENERATOR_H

#include "trust/keyentry.h"

#include <array>
#include <cstdint>

namespace ebony::trust {

/// A new key: the text to give to the customer and the entry to store.
struct GeneratedKey {
  std::string Text_;
  KeyEntry Entry_;

  friend bool operator==(const GeneratedKey &, const GeneratedKey &) = default;
};

/// Generates keys from cryptographically secure random bytes of the operating
/// system.
class KeyGenerator {
public:
  static constexpr std::size_t IdBytes = 8;
  static constexpr std::size_t SecretBytes = 32;
  static constexpr std::size_t SaltBytes = 16;
  using RandomBytes =
      std::array<std::uint8_t, IdBytes + SecretBytes + SaltBytes>;

  static GeneratedKey generate(const base::CustomerName &Customer,
                               const RandomBytes &Random);
};

} // namespace ebony::trust

#endif
