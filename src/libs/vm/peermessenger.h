#ifndef EBONY_VM_PEERMESSENGER_H
#define EBONY_VM_PEERMESSENGER_H

#include "peers/tokenmessages.h"
#include "vm/tablefollower.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>

namespace ebony::vm {

/// Discovers the other VMs through a table of the store and exchanges datagrams
/// with them: reports, table news and quota requests.
class PeerMessenger {
public:
  explicit PeerMessenger(VmState &State);

  void start();

  /// Replaces the list of VMs by the rows of their table.
  void replaceRows(const std::vector<store::Row> &Rows);
  /// Applies changed rows of that table.
  void applyRows(const std::vector<store::Row> &Rows);

  /// Sends this VM's report to all other VMs now.
  void sendReports();

  /// Sends it if something has changed that the others need to know soon.
  void sendDueReports();

  /// Sends \p Ask to the VM named \p Vm; does nothing if that VM is not listed.
  void sendTokenAsk(const std::string &Vm, const peers::TokenAsk &Ask);

  /// Sets the handlers of quota requests from other VMs and of answers to this
  /// VM's own.
  void setTokenHandlers(
      std::function<peers::TokenAnswer(const peers::TokenAsk &)> Ask,
      std::function<void(const peers::TokenAnswer &)> Answer) {
    AnswerAsk_ = std::move(Ask);
    HandleAnswer_ = std::move(Answer);
  }

  /// Returns whether a listed VM is at the other end of \p Socket.
  bool isPeer(const boost::asio::ip::tcp::socket &Socket) const;

  /// Returns whether this VM is listed in the table.
  bool isListed() const { return IsListed_; }

private:
  /// Sends this VM's report to the VMs for which \p Includes returns true.
  void sendReports(const std::function<bool(const std::string &Vm)> &Includes);
  asynckit::awaitable<void> receive();
  asynckit::awaitable<void> sendPeriodically();
  void applyRow(const store::Row &Row);
  void handleDatagram(const std::string &Bytes,
                      const boost::asio::ip::udp::endpoint &From);
  /// Forwards table news to the other VMs of this region.
  void sendNews(const peers::TableNews &News);
  void send(const std::string &Bytes, const boost::asio::ip::udp::endpoint &To);

  VmState &State_;
  boost::asio::ip::udp::socket Socket_;
  boost::asio::steady_timer Timer_;
  std::map<std::string, boost::asio::ip::udp::endpoint> Peers_;
  std::function<peers::TokenAnswer(const peers::TokenAsk &)> AnswerAsk_;
  std::function<void(const peers::TokenAnswer &)> HandleAnswer_;
  bool IsListed_ = false;
  base::TimePoint LastSentToAll_{std::chrono::hours(-1)};
};

} // namespace ebony::vm

#endif
