#ifndef EBONY_VM_PEEREXCHANGE_H
#define EBONY_VM_PEEREXCHANGE_H

#include "peers/tokenmessages.h"
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

  /// Asks the VM of that name; nothing is sent to one that is not listed.
  void ask(const std::string &Vm, const peers::TokenAsk &Ask);

  /// Who answers questions of other VMs, and who takes their answers.
  void
  setTokenTakers(std::function<peers::TokenAnswer(const peers::TokenAsk &)> Ask,
                 std::function<void(const peers::TokenAnswer &)> Answer) {
    AnswerAsk_ = std::move(Ask);
    TakeAnswer_ = std::move(Answer);
  }

  /// Whether this VM stands in the table.
  bool isListed() const { return IsListed_; }

private:
  /// Sends to those VMs that \p Includes names.
  void sendReports(const std::function<bool(const std::string &Vm)> &Includes);
  asynckit::awaitable<void> receive();
  asynckit::awaitable<void> sendRegularly();
  void takeRow(const store::Row &Row);
  void take(const std::string &Bytes,
            const boost::asio::ip::udp::endpoint &From);
  void takeReport(const traffic::MemberReport &Report);
  /// Passes news of the store on to the other VMs of this region.
  void sendNews(const peers::TableNews &News);
  void send(const std::string &Bytes, const boost::asio::ip::udp::endpoint &To);
  /// Time between reports to \p Count VMs.
  static base::Duration gapFor(std::size_t Count, base::Duration Least);

  VmState &State_;
  boost::asio::ip::udp::socket Socket_;
  boost::asio::steady_timer Timer_;
  std::map<std::string, boost::asio::ip::udp::endpoint> Peers_;
  std::function<peers::TokenAnswer(const peers::TokenAsk &)> AnswerAsk_;
  std::function<void(const peers::TokenAnswer &)> TakeAnswer_;
  bool IsListed_ = false;
  base::TimePoint SentFar_{std::chrono::hours(-1)};
};

} // namespace ebony::vm

#endif
