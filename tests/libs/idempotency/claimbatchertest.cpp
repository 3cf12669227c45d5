#include "idempotency/claimbatcher.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::idempotency;
using namespace std::chrono_literals;

namespace {

constexpr base::TimePoint Start;
const SubmissionOwner Self(base::VmAddress("127.1.1.1"), 5);

Claim claimOf(const std::string &Key, std::uint64_t Number) {
  return {Key, ClaimRow(Self, Number), Start + 1s};
}

} // namespace

BOOST_AUTO_TEST_SUITE(claimbatchertest)

BOOST_AUTO_TEST_CASE(batchesClaimsWithinTheWindow) {
  ClaimBatcher Batcher({10ms, 3, 2, 4});
  Batcher.add(claimOf("a", 1), Start);
  Batcher.add(claimOf("b", 2), Start + 9ms);
  BOOST_TEST(!Batcher.nextCall(Start + 9ms));
  BOOST_CHECK(Batcher.nextWakeup() == Start + 10ms);
  const auto Call = Batcher.nextCall(Start + 10ms);
  BOOST_TEST_REQUIRE(Call.has_value());
  BOOST_TEST(Call->Claims_.size() == 2U);
  Batcher.recordCommitted(Call->Id_);
  BOOST_TEST(Batcher.takeResults(Start + 11ms).size() == 2U);
}

BOOST_AUTO_TEST_CASE(conflictReadsExistingRowAndInsertsRemainingClaims) {
  ClaimBatcher Batcher({0ms, 8, 2, 4});
  Batcher.add(claimOf("a", 1), Start);
  Batcher.add(claimOf("b", 2), Start);
  Batcher.recordConflicts(Batcher.nextCall(Start)->Id_, {"a"}, Start);
  const auto Read = Batcher.nextCall(Start);
  BOOST_CHECK(Read->Kind_ == ClaimCall::Kind::ReadRow);
  BOOST_TEST(Read->Claims_.front().RowKey_ == "a");
  const auto Insert = Batcher.nextCall(Start);
  BOOST_CHECK(Insert->Kind_ == ClaimCall::Kind::InsertAll);
  BOOST_TEST(Insert->Claims_.front().RowKey_ == "b");
  const ClaimRow Existing(SubmissionOwner(base::VmAddress("127.1.1.2"), 6), 1);
  Batcher.recordRead(Read->Id_, Existing, Start);
  const auto Results = Batcher.takeResults(Start);
  BOOST_TEST_REQUIRE(Results.size() == 1U);
  BOOST_CHECK(Results.front().Row_ == Existing);
}

BOOST_AUTO_TEST_CASE(readsRowBackAfterALostAnswer) {
  ClaimBatcher Batcher({0ms, 8, 2, 4});
  Batcher.add(claimOf("a", 1), Start);
  Batcher.recordFailure(Batcher.nextCall(Start)->Id_, Start);
  BOOST_TEST(!Batcher.nextCall(Start));
  const auto Read = Batcher.nextCall(Start + 50ms);
  BOOST_CHECK(Read->Kind_ == ClaimCall::Kind::ReadRow);
  Batcher.recordRead(Read->Id_, std::nullopt, Start + 60ms);
  const auto Retry = Batcher.nextCall(Start + 60ms);
  BOOST_CHECK(Retry->Kind_ == ClaimCall::Kind::InsertAll);
  BOOST_CHECK(Retry->Claims_.front() == claimOf("a", 1));
  Batcher.recordFailure(Retry->Id_, Start + 70ms);
  const auto Results = Batcher.takeResults(Start + 1s);
  BOOST_TEST_REQUIRE(Results.size() == 1U);
  BOOST_CHECK(!Results.front().Row_);
}

BOOST_AUTO_TEST_CASE(rowsRoundTripThroughText) {
  const ClaimRow Row(Self, 77);
  BOOST_CHECK(ClaimRow::parse(Row.text()) == Row);
  for (const char *Malformed : {"", "x", "127.1.1.1 5", " 5 4d", "a 5 zz"})
    BOOST_CHECK(!ClaimRow::parse(Malformed));
  BOOST_TEST(claimRowKey("a/1", "b") != claimRowKey("a", "1/b"));
}

BOOST_AUTO_TEST_SUITE_END()
