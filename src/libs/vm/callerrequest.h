#ifndef EBONY_VM_CALLERREQUEST_H
#define EBONY_VM_CALLERREQUEST_H

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>

#include <string>

namespace ebony::vm {

using RequestHead =
    boost::beast::http::request_header<boost::beast::http::fields>;

/// A caller's request as far as it was read before it is passed on.
struct CallerRequest {
  std::string Id_;
  std::string Method_;
  /// Path and query as sent.
  std::string Target_;
  const boost::beast::http::fields *Fields_ = nullptr;
  /// Name of the customer; empty on routes open to all.
  std::string Customer_;
  /// The part of the body that was read.
  std::string Body_;
  /// Whether more of the body is still to come from the caller.
  bool HasMoreBody_ = false;
  /// Length that the caller gave for the whole body; -1 for none.
  std::int64_t BodyLength_ = -1;
};

} // namespace ebony::vm

#endif
