#ifndef EBONY_VM_HEADERFIELDS_H
#define EBONY_VM_HEADERFIELDS_H

#include <boost/beast/http/fields.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace ebony::vm {

using Fields = boost::beast::http::fields;

/// Value of a field, or an empty text.
std::string_view valueOf(const Fields &From, std::string_view Name);

/// Value of the cookie \p Name, or an empty text.
std::string_view cookieOf(const Fields &From, std::string_view Name);

/// Whole number that is not negative; nothing where the text is another.
std::optional<std::int64_t> wholeNumber(std::string_view Text);

/// Whether \p Name concerns only one connection. \p Connection is the value of
/// the message's Connection field, which may name more of them.
bool isHopField(std::string_view Name, std::string_view Connection);

/// Compares names without regard to case.
bool sameName(std::string_view A, std::string_view B);

} // namespace ebony::vm

#endif
