#include "asynckit/deadline.h"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace ebony;
using namespace ebony::asynckit;
using namespace std::chrono_literals;

namespace {

const base::TimePoint Start{};

} // namespace

BOOST_AUTO_TEST_SUITE(deadlinetest)

BOOST_AUTO_TEST_CASE(callsFunctionsOfExpiredDeadlinesOnce) {
  DeadlineList List;
  Deadline Early(List);
  Deadline Late(List);
  int EarlyCalls = 0;
  int LateCalls = 0;
  Early.arm(Start + 1s, [&] { ++EarlyCalls; });
  Late.arm(Start + 3s, [&] { ++LateCalls; });
  List.tick(Start + 2s);
  List.tick(Start + 2s);
  BOOST_TEST(EarlyCalls == 1);
  BOOST_TEST(LateCalls == 0);
  BOOST_TEST(Early.hasExpired());
  BOOST_TEST(!Late.hasExpired());
}

// Guards against a call into an object that another deadline of the same tick
// has destroyed.
BOOST_AUTO_TEST_CASE(skipsDeadlineThatAnotherOfTheSameTickDestroys) {
  DeadlineList List;
  Deadline First(List);
  auto Second = std::make_unique<Deadline>(List);
  bool IsSecondCalled = false;
  First.arm(Start + 1s, [&] { Second.reset(); });
  Second->arm(Start + 1s, [&] { IsSecondCalled = true; });
  List.tick(Start + 2s);
  BOOST_TEST(!IsSecondCalled);
}

BOOST_AUTO_TEST_CASE(postponesDeadlineThatAnotherOfTheSameTickArms) {
  DeadlineList List;
  Deadline First(List);
  Deadline Second(List);
  int SecondCalls = 0;
  First.arm(Start + 1s,
            [&] { Second.arm(Start + 5s, [&] { ++SecondCalls; }); });
  Second.arm(Start + 1s, [&] { ++SecondCalls; });
  List.tick(Start + 2s);
  BOOST_TEST(SecondCalls == 0);
  List.tick(Start + 5s);
  BOOST_TEST(SecondCalls == 1);
}

BOOST_AUTO_TEST_SUITE_END()
