#ifndef EBONY_JSON_JSONTEXT_H
#define EBONY_JSON_JSONTEXT_H

#include "base/finding.h"

#include <Poco/Dynamic/Var.h>

#include <string>

namespace ebony::json {

/// Parses \p Text. \p Source names the file or peer in the finding that stands
/// against malformed text, text deeper than 32 levels, or a duplicate name.
base::Checked<Poco::Dynamic::Var> parseText(const std::string &Source,
                                            const std::string &Text);

/// Reads the whole of the file \p Path; a finding tells why it cannot be read.
base::Checked<std::string> readFile(const std::string &Path);

/// Compact text of \p Value with the names of objects in sorted order.
std::string toText(const Poco::Dynamic::Var &Value);

} // namespace ebony::json

#endif
