#include "traffic/requestfingerprint.h"

#include <array>
#include <cstdio>

namespace ebony::traffic {

std::string toHex(RequestFingerprint Fingerprint) {
  std::array<char, 17> Text{};
  std::snprintf(Text.data(), Text.size(), "%016llx",
                static_cast<unsigned long long>(Fingerprint));
  return Text.data();
}

} // namespace ebony::traffic
