#ifndef EBONY_TRUST_PARSEDKEY_H
#define EBONY_TRUST_PARSEDKEY_H

#include <optional>
#include <string>
#include <string_view>

namespace ebony::trust {

/// A caller's key taken apart: "<id>.<secret>". The id picks the record, the
/// secret proves the right to use it.
struct ParsedKey {
  std::string_view Id_;
  std::string_view Secret_;

  /// Parts of \p Text, which must outlive them; empty for malformed text.
  static std::optional<ParsedKey> parse(std::string_view Text);
};

} // namespace ebony::trust

#endif
