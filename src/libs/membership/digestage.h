#ifndef EBONY_MEMBERSHIP_DIGESTAGE_H
#define EBONY_MEMBERSHIP_DIGESTAGE_H

#include "base/name.h"
#include "base/time.h"

#include <cstdint>

namespace ebony::membership {

/// Age and content id of the digest that a VM has of a zone.
struct DigestAge {
  base::ZoneName Zone_;
  base::Duration Age_{0};
  std::uint32_t ContentId_ = 0;

  friend bool operator==(const DigestAge &, const DigestAge &) = default;
};

} // namespace ebony::membership

#endif
