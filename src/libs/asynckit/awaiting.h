#ifndef EBONY_ASYNCKIT_AWAITING_H
#define EBONY_ASYNCKIT_AWAITING_H

// Boost 1.74's awaitable.hpp needs std::exchange and does not include it.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>

namespace ebony::asynckit {

using boost::asio::awaitable;
using boost::system::error_code;

/// Returns a completion token for "co_await" that stores a failure in \p Error
/// instead of throwing.
inline auto into(error_code &Error) {
  return boost::asio::redirect_error(boost::asio::use_awaitable, Error);
}

} // namespace ebony::asynckit

#endif
