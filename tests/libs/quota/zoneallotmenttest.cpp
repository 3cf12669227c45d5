#include "quota/zonesettlement.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::quota;
using namespace std::chrono_literals;

namespace {

constexpr LoanTerms Terms(2s, 500, 50ms);

base::VmIdentity vm(const char *Address) {
  return {base::VmAddress(Address), 1, base::ZoneName("z")};
}

const base::VmIdentity A = vm("1");
const base::VmIdentity B = vm("2");
const base::VmIdentity C = vm("3");

ZoneAllotment rowWithThreeMembers() {
  return ZoneAllotment::initial(6, 25).join(A, 3).join(B, 3).join(C, 3);
}

} // namespace

BOOST_AUTO_TEST_SUITE(zoneallotmenttest)

BOOST_AUTO_TEST_CASE(expectedMembersDrawEqualPartsAndLaterOnesNone) {
  const ZoneAllotment Row = rowWithThreeMembers();
  BOOST_TEST((Row.free() == QuotaHolding()));
  BOOST_TEST((Row.join(vm("4"), 3).find(vm("4"))->drawn() == QuotaHolding()));
  BOOST_TEST((Row.join(A, 3) == Row));
  BOOST_TEST((Row.total() == ZoneAllotment::initial(6, 25).total()));
}

BOOST_AUTO_TEST_CASE(claimsStayWithOneSettlerUntilItDeparts) {
  const ZoneAllotment Both = rowWithThreeMembers().claim(C, B).claim(B, A);
  BOOST_TEST(Both.claimedBy(A).size() == 2U);
  const ZoneAllotment Same =
      rowWithThreeMembers().join(vm("4"), 3).claim(C, A).claim(B, vm("4"));
  BOOST_TEST(Same.claimedBy(A).size() == 2U);
  BOOST_TEST((Both.settle(A).find(A)->drawn() == Both.total()));
}

BOOST_AUTO_TEST_CASE(settlementWaitsForStatementsAndLoans) {
  const ZoneAllotment Row = rowWithThreeMembers().claim(C, A);
  ZoneSettlement Settlement(A, Terms);
  const base::TimePoint Start{};
  Settlement.applyRow(Row, Start);
  BOOST_TEST((Settlement.membersWithoutStatement(Row) == std::vector{B}));
  BOOST_TEST(!Settlement.proposeRow(Row, Start + 1h));
  Settlement.accept(AccountStatement(B, A, C, {}));
  BOOST_TEST(!Settlement.proposeRow(Row, Start + 2s));
  BOOST_TEST(Settlement.proposeRow(Row, Start + 2100ms).has_value());
}

BOOST_AUTO_TEST_CASE(returnsSettlementOnceAndOnlyFromWrittenRow) {
  const ZoneAllotment Row = rowWithThreeMembers().claim(C, A);
  ZoneSettlement Settlement(A, Terms);
  const base::TimePoint Start{};
  Settlement.applyRow(Row, Start);
  Settlement.accept(AccountStatement(B, A, C, {}));
  const auto Written = Settlement.proposeRow(Row, Start + 3s);
  BOOST_TEST_REQUIRE(Written.has_value());
  BOOST_TEST(!Settlement.applyRow(Row, Start + 3s));
  BOOST_TEST(Settlement.applyRow(*Written, Start + 3s).has_value());
  BOOST_TEST(!Settlement.applyRow(*Written, Start + 3s));
}

BOOST_AUTO_TEST_SUITE_END()
