#include "trust/promisetable.h"
#include "trust/commitintents.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::trust;
using namespace std::chrono_literals;

namespace {

const base::TimePoint Start(1h);

base::VmIdentity member(int Number) {
  return {base::VmAddress("127.1.1." + std::to_string(Number)), Number,
          base::ZoneName("zone")};
}

WriterRoster roster(int Count) {
  std::vector<base::VmIdentity> Members;
  for (int Number = 1; Number <= Count; ++Number)
    Members.push_back(member(Number));
  return WriterRoster(Members);
}

} // namespace

BOOST_AUTO_TEST_SUITE(promisetabletest)

BOOST_AUTO_TEST_CASE(notifiedAndHeardMembersAlwaysOverlap) {
  for (int Count = 1; Count <= 60; ++Count) {
    const WriterRoster Roster = roster(Count);
    const std::size_t HeardCount =
        Roster.members().size() - Roster.maxMissingPromises();
    const std::size_t NotifiedCount =
        1 + Roster.requiredNotifications(member(1));
    BOOST_TEST(HeardCount + NotifiedCount > Roster.members().size());
    BOOST_TEST(Roster.requiredNotifications(member(99)) == NotifiedCount);
  }
  BOOST_TEST(roster(12).maxMissingPromises() == 2U);
}

BOOST_AUTO_TEST_CASE(evidenceUsesEarliestOfTheNewestRequiredPromises) {
  PromiseTable Promises;
  const WriterRoster Roster = roster(5);
  for (int Number = 1; Number <= 2; ++Number)
    Promises.recordPromise({member(Number), 7, Start + Number * 1s});
  BOOST_TEST(!Promises.evidence(Roster));
  Promises.recordPromise({member(3), 9, Start + 3s});
  BOOST_TEST(
      (*Promises.evidence(Roster) == config::FreshnessEvidence{9, Start + 1s}));
  Promises.recordPromise({member(4), 8, Start + 4s});
  Promises.recordPromise({member(4), 8, Start});
  BOOST_TEST(
      (*Promises.evidence(Roster) == config::FreshnessEvidence{9, Start + 2s}));
  // A promise of another incarnation at a member's address does not count.
  Promises.recordPromise(
      {{member(5).address(), 99, base::ZoneName("zone")}, 8, Start + 9s});
  BOOST_TEST(Promises.evidence(Roster)->AsOf_.time_since_epoch().count() ==
             (Start + 2s).time_since_epoch().count());
}

BOOST_AUTO_TEST_CASE(openIntentLimitsPromiseUntilItsOutcomeIsApplied) {
  CommitIntents Intents(member(1));
  Intents.recordApplied(4);
  Intents.recordIntent(4, Start);
  BOOST_TEST((Intents.promise(Start + 9s).AsOf_ == Start));
  Intents.recordApplied(5);
  BOOST_TEST(
      (Intents.promise(Start + 9s) == WriterPromise{member(1), 5, Start + 9s}));
}

BOOST_AUTO_TEST_CASE(malformedRosterRecordCountsAsASilentMember) {
  const auto Valid = WriterRoster::add(member(1));
  const config::RecordSet Records =
      config::RecordSet()
          .apply({1,
                  config::OperationId("a"),
                  {Valid, {{WriterRoster::RecordKind, "127.1.1.2"}, "?"}}})
          .value();
  const WriterRoster Roster = WriterRoster::fromRecords(Records);
  BOOST_TEST(Roster.members().size() == 2U);
  BOOST_TEST(Roster.contains(member(1)));
  PromiseTable Promises;
  Promises.recordPromise({member(1), 1, Start});
  BOOST_TEST(!Promises.evidence(Roster));
}

BOOST_AUTO_TEST_SUITE_END()
