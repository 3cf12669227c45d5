#include "peers/tablenews.h"
#include "store/followedtable.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::peers;
using namespace std::chrono_literals;

namespace {

TableNews news(std::size_t RowCount, std::size_t ValueBytes) {
  TableNews Whole;
  Whole.Table_ = "servers";
  Whole.After_ = 10;
  for (std::size_t I = 0; I < RowCount; ++I)
    // Two rows per transaction.
    Whole.Changes_.Rows_.push_back(
        {"k" + std::to_string(I), std::string(ValueBytes, 'x'),
         static_cast<std::int64_t>(11 + I / 2), false});
  Whole.Changes_.Version_ = 100;
  return Whole;
}

} // namespace

BOOST_AUTO_TEST_SUITE(tablenewstest)

BOOST_AUTO_TEST_CASE(splitsIntoConsecutiveParts) {
  const auto Parts = splitTableNews(news(40, 100), 500, 2000);
  BOOST_TEST_REQUIRE(Parts.size() > 5U);
  store::FollowedTable Table;
  Table.applySnapshot(store::Rows{{}, 10, false}, base::TimePoint(1s));
  std::size_t AppliedRows = 0;
  for (const TableNews &Part : Parts) {
    const auto New =
        Table.applyChanges(Part.After_, Part.Changes_, std::nullopt);
    BOOST_TEST_REQUIRE(New.has_value());
    AppliedRows += New->size();
    BOOST_TEST(Part.IsComplete_ == (&Part == &Parts.back()));
  }
  BOOST_TEST(AppliedRows == 40U);
  BOOST_TEST(Table.version() == 100);
}

BOOST_AUTO_TEST_CASE(newsWithoutRowsIsOnePart) {
  const auto Parts = splitTableNews(news(0, 0), 500, 2000);
  BOOST_TEST_REQUIRE(Parts.size() == 1U);
  BOOST_TEST(Parts.front().IsComplete_);
}

// Guards against silently skipping a row that is too large for a datagram: the
// receiver must not advance past its version.
BOOST_AUTO_TEST_CASE(oversizedRowLeavesGap) {
  TableNews Whole = news(3, 100);
  Whole.Changes_.Rows_[2].Value_ = std::string(5000, 'x');
  Whole.Changes_.Rows_[2].Version_ = 50;
  const auto Parts = splitTableNews(Whole, 500, 2000);
  store::FollowedTable Table;
  Table.applySnapshot(store::Rows{{}, 10, false}, base::TimePoint(1s));
  for (const TableNews &Part : Parts)
    Table.applyChanges(Part.After_, Part.Changes_, std::nullopt);
  BOOST_TEST(Table.version() < 50);
}

BOOST_AUTO_TEST_SUITE_END()
