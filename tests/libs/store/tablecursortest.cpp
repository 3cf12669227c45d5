#include "store/tablecursor.h"
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

/// A table whose rows are written at known times.
class WrittenTable {
public:
  void write(const std::string &Key, base::TimePoint Now) {
    Log_.push_back({row(Key, ++Version_), Now});
  }

  Rows changesAfter(std::int64_t After) const {
    Rows Result;
    Result.Version_ = Version_;
    for (const auto &[Row, Time] : Log_)
      if (Row.Version_ > After)
        Result.Rows_.push_back(Row);
    return Result;
  }

  /// Newest version that was written before \p Time.
  std::int64_t versionAt(base::TimePoint Time) const {
    std::int64_t Result = 0;
    for (const auto &[Row, Written] : Log_)
      if (Written < Time)
        Result = Row.Version_;
    return Result;
  }

private:
  std::vector<std::pair<Row, base::TimePoint>> Log_;
  std::int64_t Version_ = 0;
};

/// News on its way from the reader to the follower.
struct Message {
  base::TimePoint Arrives_{};
  std::int64_t After_ = 0;
  Rows Changes_;
  traffic::ProofClaim Claim_;
};

/// One VM that reads the store and one that lives on its news, each with a
/// clock of its own.
struct Pair {
  explicit Pair(std::uint64_t Seed) : Random_(Seed) {
    Reader_.applySnapshot(Table_.changesAfter(-1), at(0s));
    Follower_.applySnapshot(Table_.changesAfter(-1), toOwn(at(0s)));
  }

  // The follower's clock has another origin than the reader's.
  static base::TimePoint toOwn(base::TimePoint Time) { return Time + 77s; }
  static base::TimePoint toTrue(base::TimePoint Time) { return Time - 77s; }

  base::Duration delay() {
    if (Random_.chance(0.1))
      return std::chrono::milliseconds(Random_.below(9000));
    return std::chrono::milliseconds(1 + Random_.below(20));
  }

  void sendReport(base::TimePoint Now) {
    Reports_.push_back({Now + delay(), toOwn(Now)});
  }

  void read(base::TimePoint Now) {
    const std::int64_t After = Reader_.version();
    const Rows Changes = Table_.changesAfter(After);
    Reader_.applyChanges(After, Changes, Now);
    for (auto One = Reports_.begin(); One != Reports_.end();) {
      if (One->first > Now) {
        ++One;
        continue;
      }
      Echo_ = One->second;
      One = Reports_.erase(One);
    }
    if (Random_.chance(0.2))
      return;
    // The reader may be suspended between its answer and its sending.
    const base::Duration Age = Reader_.age(Now);
    Messages_.push_back(
        {Now + delay(), After, Changes, {Incarnation, Echo_, Age}});
  }

  void deliver(base::TimePoint Now) {
    for (auto One = Messages_.begin(); One != Messages_.end();) {
      if (One->Arrives_ > Now) {
        ++One;
        continue;
      }
      const auto New = Follower_.applyChanges(
          One->After_, One->Changes_,
          traffic::provenTime(One->Claim_, Incarnation, toOwn(Now)));
      if (New)
        for (const Row &Row : *New)
          Known_[Row.Key_] = Row.Version_;
      else
        IsBehind_ = true;
      One = Messages_.erase(One);
    }
  }

  void askOnItsOwn(base::TimePoint Now) {
    const std::int64_t After = Follower_.version();
    const auto New =
        Follower_.applyChanges(After, Table_.changesAfter(After), toOwn(Now));
    for (const Row &Row : *New)
      Known_[Row.Key_] = Row.Version_;
    IsBehind_ = false;
  }

  static constexpr std::int64_t Incarnation = 5;
  base::RandomEngine Random_;
  WrittenTable Table_;
  TableCursor Reader_;
  TableCursor Follower_;
  std::vector<std::pair<base::TimePoint, base::TimePoint>> Reports_;
  std::vector<Message> Messages_;
  base::TimePoint Echo_{};
  std::map<std::string, std::int64_t> Known_;
  bool IsBehind_ = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(tablecursortest)

BOOST_AUTO_TEST_CASE(changesBehindAGapAreNotTaken) {
  TableCursor Own;
  BOOST_TEST(!Own.applyChanges(0, Rows{{row("a", 1)}, 1, false}, at(1s)));
  Own.applySnapshot(Rows{{row("a", 5)}, 5, false}, at(0s));
  BOOST_TEST(!Own.applyChanges(7, Rows{{row("a", 8)}, 8, false}, at(1s)));
  BOOST_TEST(Own.version() == 5);
  BOOST_TEST((Own.age(at(2s)) == 2s));
}

BOOST_AUTO_TEST_CASE(olderChangesAreNotTakenTwice) {
  TableCursor Own;
  Own.applySnapshot(Rows{{row("a", 5)}, 5, false}, at(0s));
  const auto New = Own.applyChanges(
      3, Rows{{row("a", 4), row("b", 6)}, 6, false}, std::nullopt);
  BOOST_TEST_REQUIRE(New.has_value());
  BOOST_TEST_REQUIRE(New->size() == 1U);
  BOOST_TEST(New->front().Key_ == "b");
  // Without a proof the knowledge is no younger.
  BOOST_TEST((Own.age(at(2s)) == 2s));
}

BOOST_AUTO_TEST_CASE(anEchoOfAnotherProcessProvesNothing) {
  const traffic::ProofClaim Claim{5, at(3s), 1s};
  BOOST_TEST((traffic::provenTime(Claim, 5, at(4s)) == at(2s)));
  BOOST_TEST(!traffic::provenTime(Claim, 6, at(4s)));
  // An echo from the future comes from a clock with another origin.
  BOOST_TEST(!traffic::provenTime(Claim, 5, at(2s)));
}

// A VM lives on news that is late by up to 9 s, lost and out of order. At any
// time it knows all that was written before the time its proof names.
BOOST_AUTO_TEST_CASE(nothingIsProvenThatIsNotKnown) {
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    Pair Own(Seed);
    int Proven = 0;
    for (base::Duration Time{}; Time < 60s; Time += 10ms) {
      const base::TimePoint Now = at(Time);
      if (Own.Random_.chance(0.03))
        Own.Table_.write("k" + std::to_string(Own.Random_.below(5)), Now);
      if (Time % 300ms == 0ms)
        Own.sendReport(Now);
      if (Time % 500ms == 100ms)
        Own.read(Now);
      Own.deliver(Now);
      if (Own.IsBehind_ && Own.Random_.chance(0.1))
        Own.askOnItsOwn(Now);
      const base::Duration Age = Own.Follower_.age(Pair::toOwn(Now));
      BOOST_TEST_CONTEXT("seed " << Seed << ", after " << Time.count() << " us")
      BOOST_TEST_REQUIRE(Own.Follower_.version() >=
                         Own.Table_.versionAt(Now - Age));
      if (Age < 2500ms)
        ++Proven;
    }
    for (const auto &[Key, Version] : Own.Known_)
      BOOST_TEST(Version <= Own.Follower_.version());
    // News keeps the knowledge young most of the time.
    BOOST_TEST(Proven > 4000);
  }
}

BOOST_AUTO_TEST_SUITE_END()
