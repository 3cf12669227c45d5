#include "configagent/snapshotpager.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::configagent;
using namespace std::chrono_literals;

namespace {

config::RecordSet records(int Count) {
  std::vector<config::RecordPtr> Records;
  Records.reserve(static_cast<std::size_t>(Count));
  for (int Number = 0; Number < Count; ++Number)
    Records.push_back(
        new config::Record({"Key", std::to_string(Number)}, "{}", 5));
  return config::RecordSet(5, Records);
}

} // namespace

BOOST_AUTO_TEST_SUITE(snapshotpagertest)

BOOST_AUTO_TEST_CASE(pagesFormOneSnapshotDuringChanges) {
  const config::RecordSet Pinned = records(5000);
  config::RecordSet Current = Pinned;
  SnapshotPager Pager;
  SnapshotAssembler Assembler;
  base::TimePoint Now;
  for (int Page = 0; Page < 100; ++Page, Now += 100ms) {
    const auto Assembled =
        Assembler.addPage(Pager.answer(Assembler.nextRequest(), Current, Now));
    Current = Current
                  .apply({Current.revision() + 1,
                          config::OperationId("o"),
                          {{{"Key", std::to_string(Page)}, std::nullopt}}})
                  .value();
    if (!Assembled)
      continue;
    BOOST_TEST(Page >= 4);
    BOOST_TEST((*Assembled == Pinned));
    return;
  }
  BOOST_FAIL("The pages never came to an end.");
}

BOOST_AUTO_TEST_CASE(restartsWhenPinnedSnapshotExpired) {
  SnapshotPager Pager;
  SnapshotAssembler Assembler;
  const config::RecordSet Current = records(5000);
  Assembler.addPage(Pager.answer({}, Current, base::TimePoint()));
  BOOST_TEST(Assembler.nextRequest().Bucket_ > 0U);
  Assembler.addPage(
      Pager.answer(Assembler.nextRequest(), Current, base::TimePoint(31s)));
  BOOST_TEST((Assembler.nextRequest() == SnapshotPageRequest()));
}

BOOST_AUTO_TEST_SUITE_END()
