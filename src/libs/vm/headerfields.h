#ifndef EBONY_VM_HEADERFIELDS_H
#define EBONY_VM_HEADERFIELDS_H

#include <boost/beast/http/fields.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace ebony::vm {

using Fields = boost::beast::http::fields;

/// Returns the value of a header field, or an empty string.
std::string_view valueOf(const Fields &Source, std::string_view Name);

/// Returns the value of the cookie \p Name, or an empty string.
std::string_view cookieOf(const Fields &Source, std::string_view Name);

/// Parses a non-negative integer. Returns std::nullopt for any other text.
std::optional<std::int64_t> parseNonNegative(std::string_view Text);

/// Parses a finite, non-negative decimal number. Returns std::nullopt for any
/// other text.
std::optional<double> parseDecimal(std::string_view Text);

/// Returns whether \p Name is a hop-by-hop field. \p Connection is the value of
/// the message's Connection field, which may list further ones.
bool isHopByHopField(std::string_view Name, std::string_view Connection);

/// Compares field names case-insensitively.
bool equalsIgnoringCase(std::string_view A, std::string_view B);

} // namespace ebony::vm

#endif
