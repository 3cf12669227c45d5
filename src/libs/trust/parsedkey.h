#ifndef EBONY_TRUST_PARSEDKEY_H
#define EBONY_TRUST_PARSEDKEY_H

#include <optional>
#include <string>
#include <string_view>

namespace ebony::trust {

/// Parts of a caller's key of the form "<id>.<secret>". The id selects the
/// stored entry; the secret authenticates the caller.
struct ParsedKey {
  std::string_view Id_;
  std::string_view Secret_;

  /// Parses \p Text, which must outlive the result. Returns std::nullopt if it
  /// is malformed.
  static std::optional<ParsedKey> parse(std::string_view Text);
};

} // namespace ebony::trust

#endif
