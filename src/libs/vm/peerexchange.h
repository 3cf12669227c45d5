#ifndef EBONY_VM_PEEREXCHANGE_H
#define EBONY_VM_PEEREXCHANGE_H

#include "vm/tablefollower.h"

#include <boost/asio/ip/udp.hpp>

#include <array>

namespace ebony::vm {

/// Finds the other VMs through a table of the store and exchanges reports with
/// them in datagrams.
class PeerExchange {
public:
  /// \p Rows follows the table and passes on rows that are not VMs.
  explicit PeerExchange(VmState &State);

  void start();

  /// Takes the rows of the VMs' table.
  void replaceRows(const std::vector<store::Row> &Rows);
  void changeRows(const std::vector<store::Row> &Rows);

  /// Sends this VM's report to all others now.
  void sendReports();

  /// Whether this VM stands in the table.
  bool isListed() const { return IsListed_; }

private:
  asynckit::awaitable<void> receive();
  asynckit::awaitable<void> sendRegularly();
  void takeRow(const store::Row &Row);
  void takeReport(const std::string &Bytes);

  VmState &State_;
  boost::asio::ip::udp::socket Socket_;
  boost::asio::steady_timer Timer_;
  std::map<std::string, boost::asio::ip::udp::endpoint> Peers_;
  bool IsListed_ = false;
};

} // namespace ebony::vm

#endif
