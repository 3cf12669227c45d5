#ifndef EBONY_LOAD_TRACE_H
#define EBONY_LOAD_TRACE_H

#include "base/finding.h"
#include "load/arrivalplan.h"
#include "load/requestrecord.h"
#include "load/workload.h"

#include <string>
#include <vector>

namespace ebony::load {

/// Returns \p Records as JSON lines with each request's intended time, class
/// and outcome.
std::string traceText(const Workload &Load,
                      const std::vector<RequestRecord> &Records);

/// Parses a trace. Returns its arrivals sorted by time, or the errors of all
/// invalid lines. Recorded outcomes are ignored.
base::Checked<std::vector<Arrival>> parseTrace(const std::string &Text,
                                               const std::string &Source,
                                               const Workload &Load);

} // namespace ebony::load

#endif
