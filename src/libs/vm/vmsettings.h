#ifndef EBONY_VM_VMSETTINGS_H
#define EBONY_VM_VMSETTINGS_H

#include "base/finding.h"
#include "base/name.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ebony::vm {

/// Settings of the one process of an entry VM.
struct VmSettings {
  std::string Name_;
  base::ZoneName Zone_;
  base::RegionName Region_;
  std::map<base::ZoneName, base::RegionName> Zones_;
  /// Where callers send requests.
  boost::asio::ip::tcp::endpoint Callers_;
  /// Where the platform asks whether the VM is ready.
  boost::asio::ip::tcp::endpoint Readiness_;
  /// Where callers ask for entry VMs.
  boost::asio::ip::tcp::endpoint Directory_;
  boost::asio::ip::tcp::endpoint Metrics_;
  boost::asio::ip::tcp::endpoint Store_;
  /// Port for datagrams between VMs, the same on all.
  std::uint16_t PeerPort_ = 0;
  double CoreShare_ = 1;
  /// The fleet's figures, as texts of the platform.
  std::vector<std::string> Bounds_;

  friend bool operator==(const VmSettings &, const VmSettings &) = default;
};

/// Reads the settings file; all findings together when it is not usable.
base::Checked<VmSettings> readVmSettings(const std::string &Path);

} // namespace ebony::vm

#endif
