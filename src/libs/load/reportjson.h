#ifndef EBONY_LOAD_REPORTJSON_H
#define EBONY_LOAD_REPORTJSON_H

#include "base/finding.h"
#include "load/report.h"

namespace ebony::load {

/// Returns \p Result as JSON text.
std::string toJsonText(const Report &Result);

/// Parses JSON text \p Text. Returns the report, or all errors found.
base::Checked<Report> parseReport(const std::string &Text,
                                  const std::string &Source);

} // namespace ebony::load

#endif
