#ifndef EBONY_TRUST_KEYHASH_H
#define EBONY_TRUST_KEYHASH_H

#include "base/name.h"

#include <string>
#include <string_view>

namespace ebony::trust {

/// Returns the SHA-256 of a salt, the customer and the secret, in hexadecimal.
/// The hash covers the customer, so that it matches no key when it is copied to
/// the record of another customer.
std::string keyHash(std::string_view Salt, const base::CustomerName &Customer,
                    std::string_view Secret);

/// Compares two texts in a time that depends only on their lengths.
bool equalInConstantTime(std::string_view Left, std::string_view Right);

} // namespace ebony::trust

#endif
