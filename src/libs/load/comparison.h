#ifndef EBONY_LOAD_COMPARISON_H
#define EBONY_LOAD_COMPARISON_H

#include "load/report.h"

#include <string>

namespace ebony::load {

/// Returns a table that compares two runs, one measure per line.
std::string formatComparison(const Report &First, const Report &Second);

} // namespace ebony::load

#endif
