#ifndef EBONY_ENTRY_REQUESTIDGENERATOR_H
#define EBONY_ENTRY_REQUESTIDGENERATOR_H

#include "base/vmidentity.h"

#include <atomic>
#include <string>

namespace ebony::entry {

/// Generates request ids that contain the address of the VM that received the
/// request, so that "explain" can find that VM. Thread-safe.
class RequestIdGenerator {
public:
  explicit RequestIdGenerator(const base::VmIdentity &OwnVm);

  /// Returns "<address>_<incarnation>_<number>".
  base::RequestId next();

private:
  std::string Prefix_;
  std::atomic<std::uint64_t> Number_{0};
};

} // namespace ebony::entry

#endif
