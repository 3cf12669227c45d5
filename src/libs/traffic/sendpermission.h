#ifndef EBONY_TRAFFIC_SENDPERMISSION_H
#define EBONY_TRAFFIC_SENDPERMISSION_H

#include "base/time.h"

namespace ebony::traffic {

/// What keeps a VM from sending a request to an upstream.
enum class SendBar {
  None,
  /// The upstream is no longer in the directory.
  Unlisted,
  /// The upstream leaves.
  Leaving,
  /// The upstream has asked this VM for no requests for some time.
  Quiet,
  /// One request shows first whether it takes requests again.
  Trial,
  /// Other VMs, or earlier requests, have used the rate of a cold upstream.
  ColdLimit,
  /// Other VMs, or earlier requests, have used the rate that it named.
  NamedLimit,
  /// Attempts at the upstream have failed.
  Ejected,
};

/// Whether this VM may send a request to an upstream.
struct SendPermission {
  /// Wait_ of an upstream of which no time is known from which requests may be
  /// sent.
  static constexpr base::Duration Never = base::Duration::max();

  SendBar Bar_ = SendBar::None;
  /// Time until a request may be sent; zero if it may be sent now.
  base::Duration Wait_{};

  bool isNow() const { return Wait_ == base::Duration::zero(); }
  bool isNever() const { return Wait_ == Never; }

  friend bool operator==(const SendPermission &,
                         const SendPermission &) = default;
};

} // namespace ebony::traffic

#endif
