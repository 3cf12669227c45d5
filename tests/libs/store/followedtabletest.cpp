#include "store/followedtable.h"
#include "base/randomengine.h"
#include "traffic/storereaders.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace ebony;
using namespace ebony::store;
using namespace std::chrono_literals;

namespace {

base::TimePoint at(base::Duration Span) {
  return base::TimePoint(std::chrono::hours(1)) + Span;
}

Row row(const std::string &Key, std::int64_t Version) {
  return {Key, "value", Version, false};
}

/// A table that records the time of each write.
class RecordedTable {
public:
  void write(const std::string &Key, base::TimePoint Now) {
    Writes_.push_back({row(Key, ++Version_), Now});
  }

  Rows changesAfter(std::int64_t After) const {
    Rows Result;
    Result.Version_ = Version_;
    for (const auto &[Row, Time] : Writes_)
      if (Row.Version_ > After)
        Result.Rows_.push_back(Row);
    return Result;
  }

  /// Returns the newest version that was written before \p Time.
  std::int64_t versionAt(base::TimePoint Time) const {
    std::int64_t Result = 0;
    for (const auto &[Row, Written] : Writes_)
      if (Written < Time)
        Result = Row.Version_;
    return Result;
  }

private:
  std::vector<std::pair<Row, base::TimePoint>> Writes_;
  std::int64_t Version_ = 0;
};

/// News in flight from the reader to the follower.
struct Message {
  base::TimePoint ArrivesAt_{};
  std::int64_t After_ = 0;
  Rows Changes_;
  traffic::FreshnessClaim Claim_;
};

/// One VM that reads the store and one that follows its news, each with a clock
/// of its own.
struct ReaderAndFollower {
  explicit ReaderAndFollower(std::uint64_t Seed) : Random_(Seed) {
    Reader_.applySnapshot(Table_.changesAfter(-1), at(0s));
    Follower_.applySnapshot(Table_.changesAfter(-1), toFollowerClock(at(0s)));
  }

  // The follower's clock has a different origin than the reader's.
  static base::TimePoint toFollowerClock(base::TimePoint Time) {
    return Time + 77s;
  }
  static base::TimePoint toReaderClock(base::TimePoint Time) {
    return Time - 77s;
  }

  base::Duration delay() {
    if (Random_.chance(0.1))
      return std::chrono::milliseconds(Random_.below(9000));
    return std::chrono::milliseconds(1 + Random_.below(20));
  }

  void sendReport(base::TimePoint Now) {
    Reports_.push_back({Now + delay(), toFollowerClock(Now)});
  }

  void read(base::TimePoint Now) {
    const std::int64_t After = Reader_.version();
    const Rows Changes = Table_.changesAfter(After);
    Reader_.applyChanges(After, Changes, Now);
    for (auto It = Reports_.begin(); It != Reports_.end();) {
      if (It->first > Now) {
        ++It;
        continue;
      }
      Echo_ = It->second;
      It = Reports_.erase(It);
    }
    if (Random_.chance(0.2))
      return;
    // The reader may be suspended between reading and sending.
    const base::Duration Age = Reader_.age(Now);
    Messages_.push_back(
        {Now + delay(), After, Changes, {Incarnation, Echo_, Age}});
  }

  void deliver(base::TimePoint Now) {
    for (auto It = Messages_.begin(); It != Messages_.end();) {
      if (It->ArrivesAt_ > Now) {
        ++It;
        continue;
      }
      const auto New =
          Follower_.applyChanges(It->After_, It->Changes_,
                                 traffic::confirmedTime(It->Claim_, Incarnation,
                                                        toFollowerClock(Now)));
      if (New)
        for (const Row &Row : *New)
          KnownVersions_[Row.Key_] = Row.Version_;
      else
        IsBehind_ = true;
      It = Messages_.erase(It);
    }
  }

  void readFromStore(base::TimePoint Now) {
    const std::int64_t After = Follower_.version();
    const auto New = Follower_.applyChanges(After, Table_.changesAfter(After),
                                            toFollowerClock(Now));
    for (const Row &Row : *New)
      KnownVersions_[Row.Key_] = Row.Version_;
    IsBehind_ = false;
  }

  static constexpr std::int64_t Incarnation = 5;
  base::RandomEngine Random_;
  RecordedTable Table_;
  FollowedTable Reader_;
  FollowedTable Follower_;
  std::vector<std::pair<base::TimePoint, base::TimePoint>> Reports_;
  std::vector<Message> Messages_;
  base::TimePoint Echo_{};
  std::map<std::string, std::int64_t> KnownVersions_;
  bool IsBehind_ = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(followedtabletest)

BOOST_AUTO_TEST_CASE(rejectsChangesAfterGap) {
  FollowedTable Table;
  BOOST_TEST(!Table.applyChanges(0, Rows{{row("a", 1)}, 1, false}, at(1s)));
  Table.applySnapshot(Rows{{row("a", 5)}, 5, false}, at(0s));
  BOOST_TEST(!Table.applyChanges(7, Rows{{row("a", 8)}, 8, false}, at(1s)));
  BOOST_TEST(Table.version() == 5);
  BOOST_TEST((Table.age(at(2s)) == 2s));
}

BOOST_AUTO_TEST_CASE(ignoresChangesAlreadyApplied) {
  FollowedTable Table;
  Table.applySnapshot(Rows{{row("a", 5)}, 5, false}, at(0s));
  const auto New = Table.applyChanges(
      3, Rows{{row("a", 4), row("b", 6)}, 6, false}, std::nullopt);
  BOOST_TEST_REQUIRE(New.has_value());
  BOOST_TEST_REQUIRE(New->size() == 1U);
  BOOST_TEST(New->front().Key_ == "b");
  // Without a proof of freshness, the age is not reduced.
  BOOST_TEST((Table.age(at(2s)) == 2s));
}

BOOST_AUTO_TEST_CASE(ignoresEchoOfAnotherProcess) {
  const traffic::FreshnessClaim Claim{5, at(3s), 1s};
  BOOST_TEST((traffic::confirmedTime(Claim, 5, at(4s)) == at(2s)));
  BOOST_TEST(!traffic::confirmedTime(Claim, 6, at(4s)));
  // An echo from the future comes from a clock with a different origin.
  BOOST_TEST(!traffic::confirmedTime(Claim, 5, at(2s)));
}

// A VM follows news that arrives up to 9 s late, out of order or not at all. At
// any time it must know every row written before the time as of which it counts
// its knowledge as fresh.
BOOST_AUTO_TEST_CASE(knowsAllRowsOlderThanItsAge) {
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    ReaderAndFollower Vms(Seed);
    int FreshSteps = 0;
    for (base::Duration Time{}; Time < 60s; Time += 10ms) {
      const base::TimePoint Now = at(Time);
      if (Vms.Random_.chance(0.03))
        Vms.Table_.write("k" + std::to_string(Vms.Random_.below(5)), Now);
      if (Time % 300ms == 0ms)
        Vms.sendReport(Now);
      if (Time % 500ms == 100ms)
        Vms.read(Now);
      Vms.deliver(Now);
      if (Vms.IsBehind_ && Vms.Random_.chance(0.1))
        Vms.readFromStore(Now);
      const base::Duration Age =
          Vms.Follower_.age(ReaderAndFollower::toFollowerClock(Now));
      BOOST_TEST_CONTEXT("seed " << Seed << ", after " << Time.count() << " us")
      BOOST_TEST_REQUIRE(Vms.Follower_.version() >=
                         Vms.Table_.versionAt(Now - Age));
      if (Age < 2500ms)
        ++FreshSteps;
    }
    for (const auto &[Key, Version] : Vms.KnownVersions_)
      BOOST_TEST(Version <= Vms.Follower_.version());
    // News keeps the knowledge fresh most of the time.
    BOOST_TEST(FreshSteps > 4000);
  }
}

BOOST_AUTO_TEST_SUITE_END()
