#ifndef EBONY_ASYNCKIT_WITHOUTTIMERFD_H
#define EBONY_ASYNCKIT_WITHOUTTIMERFD_H

// Included first in every source file that uses Boost.Asio. It makes Asio's
// event loop use the timeout of epoll_wait instead of a timerfd. A timerfd that
// expires a fraction of a microsecond before the clock reaches its time makes
// the loop spin until the clock catches up; it also costs one system call per
// timer.
#include <boost/asio/detail/config.hpp>
#undef BOOST_ASIO_HAS_TIMERFD

#endif
