#ifndef EBONY_ASYNCKIT_WITHOUTTIMERFD_H
#define EBONY_ASYNCKIT_WITHOUTTIMERFD_H

// Included first in every source that uses Boost.Asio: its event loop takes
// the time-out of epoll_wait instead of a timerfd. A timerfd that expires a
// part of a microsecond before the clock shows its time makes the loop spin
// until the clock has caught up; it also costs a system call a timer.
#include <boost/asio/detail/config.hpp>
#undef BOOST_ASIO_HAS_TIMERFD

#endif
