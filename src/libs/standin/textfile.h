#ifndef EBONY_STANDIN_TEXTFILE_H
#define EBONY_STANDIN_TEXTFILE_H

#include "base/finding.h"

#include <string>

namespace ebony::standin {

/// Returns the content of the file at \p Path, or findings when it cannot be
/// read.
base::Checked<std::string> readText(const std::string &Path);

/// Replaces the content of the file at \p Path; returns findings when it cannot
/// be written.
base::Findings writeText(const std::string &Path, const std::string &Text);

} // namespace ebony::standin

#endif
