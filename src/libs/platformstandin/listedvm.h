#ifndef EBONY_PLATFORMSTANDIN_LISTEDVM_H
#define EBONY_PLATFORMSTANDIN_LISTEDVM_H

#include <string>

namespace ebony::platformstandin {

/// Entry of the VM list that the platform stand-in serves.
struct ListedVm {
  std::string Address_;
  std::string Zone_;
  std::string State_; ///< "live" or "leaving"

  friend bool operator==(const ListedVm &, const ListedVm &) = default;
};

} // namespace ebony::platformstandin

#endif
