#ifndef EBONY_VM_HEADERNAMES_H
#define EBONY_VM_HEADERNAMES_H

#include <string>

namespace ebony::vm {

/// Names of the header fields that callers, VMs and upstreams use.
struct HeaderNames {
  std::string RequestId_;
  /// Milliseconds for which the caller still waits.
  std::string Deadline_;
  /// Cookie that names the object which a request concerns.
  std::string ObjectCookie_;
  /// Name of the upstream that must serve the request.
  std::string ExpectedUpstream_;
  /// Name of the customer, for the upstream.
  std::string Customer_;
  /// Mark by which a caller knows an upstream's own answer.
  std::string Stamp_;
  /// Present when the upstream did not run the request.
  std::string NotRun_;
  /// What stands before the key in the Authorization field.
  std::string KeyScheme_;

  friend bool operator==(const HeaderNames &, const HeaderNames &) = default;
};

} // namespace ebony::vm

#endif
