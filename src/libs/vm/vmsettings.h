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

/// Settings of the process of an entry VM.
struct VmSettings {
  std::string Name_;
  base::ZoneName Zone_;
  base::RegionName Region_;
  /// The region of each zone.
  std::map<base::ZoneName, base::RegionName> Zones_;
  /// Endpoint for callers' requests.
  boost::asio::ip::tcp::endpoint Callers_;
  /// Endpoint at which the platform checks readiness.
  boost::asio::ip::tcp::endpoint Readiness_;
  /// Endpoint at which callers look up entry VMs.
  boost::asio::ip::tcp::endpoint Directory_;
  boost::asio::ip::tcp::endpoint Metrics_;
  boost::asio::ip::tcp::endpoint Store_;
  /// Port for datagrams between VMs; the same on all of them.
  std::uint16_t PeerPort_ = 0;
  /// CPU share of this VM in cores.
  double CoreShare_ = 1;
  /// Number of requests of one caller's connection that are processed at the
  /// same time; more stay unread.
  std::size_t MaxPipelinedRequests_ = 8;
  /// Memory of the machine, which the process must not exceed.
  std::size_t MemoryBytes_ = 256UL << 20;
  /// File descriptors that the process may open.
  std::size_t FileDescriptors_ = 4096;
  /// Descriptors for the store, other VMs, readiness and metrics.
  static constexpr std::size_t OtherDescriptors = 48;
  /// Connections of callers, of the directory's clients and to upstreams that
  /// may be open together. A sixteenth of the descriptors is left for files.
  std::size_t maxConnections() const {
    return FileDescriptors_ - FileDescriptors_ / 16 - OtherDescriptors;
  }
  /// Parts of them that the other kinds of connections can't take.
  std::size_t callerConnections() const { return FileDescriptors_ * 5 / 16; }
  std::size_t upstreamConnections() const { return FileDescriptors_ * 5 / 16; }
  std::size_t directoryConnections() const { return FileDescriptors_ / 16; }

  /// Limits of the fleet, in the platform's text format.
  std::vector<std::string> Bounds_;

  friend bool operator==(const VmSettings &, const VmSettings &) = default;
};

/// Reads the settings file. Returns all findings if it is not valid.
base::Checked<VmSettings> readVmSettings(const std::string &Path);

} // namespace ebony::vm

#endif
