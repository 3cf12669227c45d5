#ifndef EBONY_LOAD_FAULT_H
#define EBONY_LOAD_FAULT_H

#include "base/finding.h"
#include "base/time.h"
#include "load/fleet.h"

#include <string>
#include <vector>

namespace ebony::load {

/// Orders that change the behaviour of stand-ins at a scheduled time.
struct Fault {
  base::Duration When_{0}; ///< Since the start of the run.
  std::vector<Endpoint> Endpoints_;
  std::string Orders_; ///< JSON body of POST /standin/orders.

  friend bool operator==(const Fault &, const Fault &) = default;
};

/// Parses JSON text \p Text. Returns the faults sorted by time, or all errors
/// found in it.
base::Checked<std::vector<Fault>> parseFaults(const std::string &Text,
                                              const std::string &Source,
                                              const Fleet &TargetFleet);

} // namespace ebony::load

#endif
