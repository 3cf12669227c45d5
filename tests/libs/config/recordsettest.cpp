#include "config/recordset.h"
#include "base/randomengine.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace ebony;
using namespace ebony::config;

namespace {

RecordChange put(int Number, std::string Text) {
  return {{"customer", "c" + std::to_string(Number)}, std::move(Text)};
}

RecordChange erase(int Number) {
  return {{"customer", "c" + std::to_string(Number)}, std::nullopt};
}

} // namespace

BOOST_AUTO_TEST_SUITE(recordsettest)

BOOST_AUTO_TEST_CASE(appliesOnlyTheNextRevision) {
  const RecordSet Empty;
  const RecordSet First =
      Empty.apply({1, OperationId("a"), {put(1, "{}")}}).value();
  BOOST_TEST(First.revision() == 1);
  BOOST_TEST(!First.apply({1, OperationId("a"), {}}));
  BOOST_TEST(!First.apply({0, OperationId("a"), {}}));
  const auto Gap = First.apply({3, OperationId("a"), {}});
  BOOST_TEST_REQUIRE(Gap.has_error());
  BOOST_TEST(Gap.error().front().path() == "revision");
}

BOOST_AUTO_TEST_CASE(changesLeaveOlderSnapshotsUnmodified) {
  const RecordSet First =
      RecordSet().apply({1, OperationId("a"), {put(1, "old")}}).value();
  const RecordSet Second =
      First.apply({2, OperationId("b"), {put(1, "new"), put(2, "x")}}).value();
  const RecordSet Third =
      Second.apply({3, OperationId("c"), {erase(1)}}).value();
  BOOST_TEST(First.find({"customer", "c1"})->text() == "old");
  BOOST_TEST(Second.find({"customer", "c1"})->text() == "new");
  BOOST_TEST(Second.find({"customer", "c1"})->lastChangedRevision() == 2);
  BOOST_TEST(!Third.find({"customer", "c1"}));
  BOOST_TEST(Third.size() == 1U);
}

BOOST_AUTO_TEST_CASE(matchesReferenceMapUnderRandomChanges) {
  base::RandomEngine Random(11);
  std::map<std::string, std::string> Model;
  RecordSet Set;
  for (int Step = 1; Step <= 3000; ++Step) {
    const int Number = static_cast<int>(Random.below(400));
    const bool IsDeletion = Random.chance(0.4);
    const std::string Text = std::to_string(Random());
    Set = Set.apply({Step,
                     OperationId("o"),
                     {IsDeletion ? erase(Number) : put(Number, Text)}})
              .value();
    if (IsDeletion)
      Model.erase("c" + std::to_string(Number));
    else
      Model["c" + std::to_string(Number)] = Text;
  }
  const auto Records = Set.ofKind("customer");
  BOOST_TEST_REQUIRE(Records.size() == Model.size());
  auto Expected = Model.begin();
  for (const RecordPtr &Entry : Records) {
    BOOST_TEST(Entry->id().Name_ == Expected->first);
    BOOST_TEST(Entry->text() == Expected->second);
    ++Expected;
  }
  BOOST_TEST((RecordSet(Set.revision(), Records) == Set));
}

BOOST_AUTO_TEST_SUITE_END()
