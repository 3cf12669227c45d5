#include "vm/quotaplantext.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::vm;

BOOST_AUTO_TEST_SUITE(quotaplantexttest)

BOOST_AUTO_TEST_CASE(aPlanIsReadBackAsItWasWritten) {
  traffic::QuotaPlan Plan;
  Plan.Version_ = 7;
  Plan.Customers_[base::CustomerName("atlas")] = {{"vm1", {0.5, 0.25}},
                                                  {"vm2", {0.5, 0.5}}};
  const auto Read = decodeQuotaPlan(encodeQuotaPlan(Plan));
  BOOST_TEST_REQUIRE(Read.has_value());
  BOOST_TEST((*Read == Plan));
}

BOOST_AUTO_TEST_CASE(malformedPlansAreRefused) {
  for (const char *Text :
       {"", "x", "0\n", "3\natlas vm1 0.5\n", "3\natlas vm1 2 1\n",
        "3\natlas vm1 0.2 0.5\n", "3\natlas vm1 -1 -1\n"})
    BOOST_TEST(!decodeQuotaPlan(Text).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
