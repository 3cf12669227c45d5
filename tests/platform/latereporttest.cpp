#include "libs/vm/requestpathfixture.h"
#include "platform/upstreamdecoder.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::adapter;
using namespace std::chrono_literals;

namespace {

/// A VM that reads upstreams' entries by the platform's decoder. The entries of
/// the first upstream change.
struct LateReportFixture : vm::RequestPathFixture {
  explicit LateReportFixture(std::int64_t Started = 0)
      : RequestPathFixture([](vm::PlatformBinding &Binding) {
          Binding.DecodeUpstream_ = decodeUpstream;
        }),
        Started_(Started) {
    Rows_["upstreams"] = {rowOf("one", "ready", 4),
                          {"two", entryOf("two", "ready", 9), 3, false}};
  }

  std::string entryOf(const std::string &Name, const std::string &State,
                      int Sequence) const {
    const std::uint16_t Port =
        (Name == "one" ? FirstUpstream_ : SecondUpstream_).port();
    return R"({"service":"s","address":"127.0.0.1:)" + std::to_string(Port) +
           R"(","zone":"z","slots":4,"state":")" + State + R"(","sequence":)" +
           std::to_string(Sequence) +
           (Started_ ? R"(,"born":)" + std::to_string(Started_) : "") + "}";
  }

  store::Row rowOf(const std::string &Name, const std::string &State,
                   int Sequence) {
    return {Name, entryOf(Name, State, Sequence), ++Version_, false};
  }

  /// Has the VM hear of a changed row.
  void hear(store::Row Row) {
    peers::TableNews News;
    News.Table_ = "upstreams";
    News.Changes_.Version_ = Row.Version_;
    News.Changes_.Rows_ = {std::move(Row)};
    BOOST_TEST(State_->News_.deliver(News));
  }
  void hear(const std::string &State, int Sequence) {
    hear(rowOf("one", State, Sequence));
  }
  void hearRemoval() { hear({"one", "", ++Version_, true}); }

  bool isUsable() const {
    const auto &Usable = State_->Upstreams_.usable(base::ServiceName("s"));
    return std::any_of(Usable.begin(), Usable.end(), [](const auto &Upstream) {
      return Upstream->Entry_.Name_.text() == "one";
    });
  }

  /// Runs \p Test once the VM has read the store.
  void play(const std::function<void()> &Test) {
    run([](const std::function<void()> &Steps) -> asynckit::awaitable<void> {
      Steps();
      co_return;
    }(Test));
  }

  /// Start of the first upstream's process; 0 if its entries don't tell.
  std::int64_t Started_;
  std::int64_t Version_ = 10;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(latereporttest, LateReportFixture)

// review/2: a report that the store performed late brought back an upstream
// that had reported that it leaves.
BOOST_AUTO_TEST_CASE(olderReportDoesNotBringBackLeavingUpstream) {
  for (const std::int64_t Started : {0, 1774968465}) {
    LateReportFixture Vm(Started);
    Vm.play([&Vm] {
      BOOST_TEST(Vm.isUsable());
      Vm.hear("draining", 7);
      BOOST_TEST(!Vm.isUsable());
      Vm.Clock_.advance(2s);
      for (const int Sequence : {5, 6}) {
        Vm.hear("ready", Sequence);
        BOOST_TEST(!Vm.isUsable());
      }
      Vm.hear("draining", 8);
      BOOST_TEST(!Vm.isUsable());
    });
  }
}

BOOST_AUTO_TEST_CASE(olderReportSendsNoRequests) {
  run([](LateReportFixture &Vm) -> asynckit::awaitable<void> {
    Vm.hear("draining", 7);
    Vm.hear("ready", 6);
    for (int Object = 0; Object < 20; ++Object)
      BOOST_TEST((co_await Vm.call("/read/a", Object)).result_int() == 200U);
  }(*this));
  BOOST_TEST(FirstUpstream_.requests().empty());
}

// Nobody follows up such a report, so that the entry stays until it lapses.
BOOST_AUTO_TEST_CASE(olderReportDoesNotBringBackRemovedUpstream) {
  play([this] {
    hear("ready", 7);
    hearRemoval();
    hear("ready", 6);
    BOOST_TEST(!isUsable());
  });
}

// The last report of an upstream that left without announcing it has a higher
// sequence than all that were read.
BOOST_AUTO_TEST_CASE(singleReportDoesNotBringBackRemovedUpstream) {
  for (const std::int64_t Started : {0, 1774968465}) {
    LateReportFixture Vm(Started);
    Vm.play([&Vm] {
      Vm.hear("ready", 7);
      Vm.hearRemoval();
      Vm.Clock_.advance(4s);
      const store::Row Late = Vm.rowOf("one", "ready", 8);
      Vm.hear(Late);
      BOOST_TEST(!Vm.isUsable());
      // The whole table is read again.
      Vm.hear({"one", Late.Value_, ++Vm.Version_, false});
      BOOST_TEST(!Vm.isUsable());
    });
  }
}

BOOST_AUTO_TEST_CASE(upstreamThatRegistersAgainIsUsedFromItsSecondReport) {
  play([this] {
    hear("ready", 7);
    hearRemoval();
    hear("ready", 9);
    hear("ready", 10);
    BOOST_TEST(isUsable());
    hearRemoval();
    Clock_.advance(11s);
    hear("ready", 11);
    BOOST_TEST(isUsable());
  });
}

BOOST_AUTO_TEST_CASE(runWithLaterStartIsUsedAtOnce) {
  play([this] {
    Started_ = 1000;
    hear("draining", 7);
    Started_ = 2000;
    hear("ready", 1);
    BOOST_TEST(isUsable());
    Started_ = 1000;
    hear("draining", 8);
    BOOST_TEST(isUsable());
  });
}

// Neither a run without a start, whose sequence begins anew, nor one whose
// clock was set back may stay out of use.
BOOST_AUTO_TEST_CASE(laterRunIsUsedOnceTheEarlierOneIsSilent) {
  for (const std::int64_t Started : {0, 2000}) {
    LateReportFixture Vm(Started);
    Vm.play([&Vm, Started] {
      Vm.hear("draining", 7);
      Vm.hearRemoval();
      Vm.Started_ = Started / 2;
      for (int Sequence = 1; Sequence < 9; ++Sequence) {
        Vm.hear("ready", Sequence);
        Vm.Clock_.advance(1500ms);
      }
      BOOST_TEST(Vm.isUsable());
    });
  }
}

BOOST_AUTO_TEST_CASE(entryWithoutSequenceIsUsed) {
  store::Row Row = rowOf("one", "draining", 7);
  Row.Value_.replace(Row.Value_.find(R"("sequence":7)"), 12, R"("other":7)");
  BOOST_TEST_REQUIRE(decodeUpstream(Row).has_value());
  play([this, &Row] {
    hear(Row);
    BOOST_TEST(!isUsable());
  });
}

BOOST_AUTO_TEST_SUITE_END()
