#include "base/connectionactivity.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace ebony::base;
using namespace std::chrono_literals;

namespace {

struct Connection {
  ConnectionActivity Activity_;
  const ConnectionActivity &activity() const { return Activity_; }
};

std::ptrdiff_t leastActive(std::vector<Connection> Connections) {
  const Connection *Least = findLeastActive(Connections);
  return Least ? Least - Connections.data() : -1;
}

Connection connection(ConnectionUse Use, Duration Since) {
  return {{Use, TimePoint(Since)}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(connectionactivitytest)

BOOST_AUTO_TEST_CASE(usesComeInOrder) {
  using enum ConnectionUse;
  BOOST_TEST(leastActive({connection(Busy, 1s), connection(Waiting, 1s),
                          connection(Idle, 1s), connection(Unused, 9s)}) == 3);
  BOOST_TEST(leastActive({connection(Busy, 1s), connection(Waiting, 1s),
                          connection(Idle, 9s)}) == 2);
  BOOST_TEST(leastActive({connection(Busy, 1s), connection(Waiting, 9s)}) == 1);
}

BOOST_AUTO_TEST_CASE(oldestOfOneUseComesFirst) {
  using enum ConnectionUse;
  BOOST_TEST(leastActive({connection(Unused, 3s), connection(Unused, 1s),
                          connection(Unused, 2s)}) == 1);
}

BOOST_AUTO_TEST_CASE(busyConnectionsAreKept) {
  BOOST_TEST(leastActive({connection(ConnectionUse::Busy, 1s)}) == -1);
  BOOST_TEST(leastActive({}) == -1);
}

BOOST_AUTO_TEST_SUITE_END()
