#include "trust/keyhash.h"

#include <Poco/SHA2Engine.h>

namespace ebony::trust {

// Each field is prefixed with its length, so that no two different inputs hash
// the same bytes.
std::string keyHash(std::string_view Salt, const base::CustomerName &Customer,
                    std::string_view Secret) {
  Poco::SHA2Engine Engine(Poco::SHA2Engine::SHA_256);
  for (const std::string_view Field :
       {Salt, std::string_view(Customer.text()), Secret}) {
    Engine.update(std::to_string(Field.size()) + ":");
    Engine.update(Field.data(), Field.size());
  }
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

bool equalInConstantTime(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size())
    return false;
  unsigned char Difference = 0;
  for (std::size_t Index = 0; Index < Left.size(); ++Index)
    Difference |= static_cast<unsigned char>(Left[Index] ^ Right[Index]);
  return Difference == 0;
}

} // namespace ebony::trust
