#ifndef EBONY_VM_CALLERREQUEST_H
#define EBONY_VM_CALLERREQUEST_H

#include "base/time.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>

#include <string>

namespace ebony::vm {

using RequestHead =
    boost::beast::http::request_header<boost::beast::http::fields>;

/// Deadline of a request whose caller sends none.
constexpr base::Duration DefaultDeadline = std::chrono::seconds(30);

/// A caller's request with the part of its body that is read before it is
/// forwarded.
struct CallerRequest {
  std::string Id_;
  std::string Method_;
  /// Path and query as received.
  std::string Target_;
  boost::beast::http::fields Fields_;
  /// Name of the customer; empty on routes that need no key.
  std::string Customer_;
  /// The part of the body that has been read.
  std::string Body_;
  /// Whether more of the body has yet to be read from the caller.
  bool HasMoreBody_ = false;
  /// Content length of the whole body; -1 if unknown.
  std::int64_t BodyLength_ = -1;
  /// Time for which the caller waits for the response.
  base::Duration Deadline_ = DefaultDeadline;
};

/// Returns the memory that \p Request takes.
std::size_t memoryOf(const CallerRequest &Request);

} // namespace ebony::vm

#endif
