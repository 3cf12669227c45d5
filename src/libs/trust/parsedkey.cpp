#include "trust/parsedkey.h"

namespace ebony::trust {

std::optional<ParsedKey> ParsedKey::parse(std::string_view Text) {
  const std::size_t Dot = Text.find('.');
  if (Dot == std::string_view::npos || Dot == 0 || Dot + 1 == Text.size())
    return std::nullopt;
  return ParsedKey{Text.substr(0, Dot), Text.substr(Dot + 1)};
}

} // namespace ebony::trust
