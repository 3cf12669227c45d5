#ifndef EBONY_VM_UPSTREAMCONNECTION_H
#define EBONY_VM_UPSTREAMCONNECTION_H

#include "base/holdercount.h"
#include "base/time.h"
#include "httpwire/responseparser.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <string_view>

namespace ebony::vm {

/// One connection to an upstream, used by one request at a time.
class UpstreamConnection {
public:
  /// Is counted by \p Open.
  UpstreamConnection(boost::asio::io_context &Context,
                     base::HolderCountPtr Open)
      : Socket_(Context), Buffer_(httpwire::MaxUnparsedBytes),
        Open_(std::move(Open)) {}

  boost::asio::ip::tcp::socket &socket() { return Socket_; }
  boost::beast::flat_buffer &buffer() { return Buffer_; }

  /// Releases the memory of an empty buffer.
  void shrinkBuffer() {
    Buffer_ = boost::beast::flat_buffer(httpwire::MaxUnparsedBytes);
  }

  /// Closes the connection; pending operations on it end with an error.
  void close() {
    boost::system::error_code Ignored; // Closing is best effort.
    Socket_.close(Ignored);
  }

  /// Records that a request was sent. Its id may come again, as that of a
  /// caller who repeats it.
  void recordRequest(std::string_view Id) {
    RecentIds_.at(RequestCount_++ % RecentIds_.size()) = hashOf(Id);
  }

  /// Returns whether one of the last requests had this id, so that a copy of
  /// its response could be taken for that to the next.
  bool hasCarried(std::string_view Id) const {
    const std::size_t Count = std::min(RequestCount_, RecentIds_.size());
    return std::find(RecentIds_.begin(),
                     RecentIds_.begin() + static_cast<std::ptrdiff_t>(Count),
                     hashOf(Id)) !=
           RecentIds_.begin() + static_cast<std::ptrdiff_t>(Count);
  }

  bool IsIdle_ = false;
  bool WasUsed_ = false;
  base::TimePoint IdleSince_{};
  /// Time after which the upstream closes the connection if it is idle.
  base::Duration KeepAlive_{};

private:
  /// Number of requests whose ids are remembered; a repeat follows within a
  /// few.
  static constexpr std::size_t RecentIdCount = 16;

  static std::uint32_t hashOf(std::string_view Id) {
    return static_cast<std::uint32_t>(std::hash<std::string_view>()(Id));
  }

  boost::asio::ip::tcp::socket Socket_;
  boost::beast::flat_buffer Buffer_;
  const base::HolderCountPtr Open_;
  std::array<std::uint32_t, RecentIdCount> RecentIds_{};
  std::size_t RequestCount_ = 0;
};

} // namespace ebony::vm

#endif
