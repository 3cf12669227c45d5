#include "telemetry/eventlog.h"

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>

using namespace ebony;
using namespace ebony::telemetry;
using namespace std::chrono_literals;

namespace {

struct Pipe {
  Pipe() { BOOST_TEST_REQUIRE(pipe2(Ends_.data(), O_NONBLOCK) == 0); }
  ~Pipe() {
    close(Ends_[0]);
    close(Ends_[1]);
  }

  std::string read() const {
    std::string Text(1 << 20, '\0');
    const ssize_t Size = ::read(Ends_[0], Text.data(), Text.size());
    Text.resize(Size > 0 ? static_cast<std::size_t>(Size) : 0);
    return Text;
  }

  std::array<int, 2> Ends_{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(eventlogtest)

BOOST_AUTO_TEST_CASE(valuesAreEscaped) {
  BOOST_TEST(EventLine("x").add("a", "b c=%\n").add("n", 5).text() ==
             "event=x a=b%20c%3d%25%0a n=5");
}

BOOST_AUTO_TEST_CASE(aLineCarriesItsSource) {
  const Pipe Own;
  EventLog Log(Own.Ends_[1], "vm1");
  Log.write(EventLine("start"), EventWeight::Notable,
            base::TimePoint(base::Duration(5ms)));
  Log.flush();
  BOOST_TEST(Own.read() == "at_ms=5 vm=vm1 event=start\n");
}

// A reader that stops reading costs lines, not time: nothing blocks, what does
// not fit is counted, and the count is told once the reader is back.
BOOST_AUTO_TEST_CASE(aFullPipeCostsLinesAndNeverBlocks) {
  const Pipe Own;
  EventLog Log(Own.Ends_[1], "vm1");
  const std::string Long(1000, 'x');
  for (int I = 0; I < 2000; ++I) {
    Log.write(EventLine("a").add("v", Long), EventWeight::Notable,
              base::TimePoint());
    Log.flush();
  }
  BOOST_TEST(Log.dropped() > 0);
  std::string All;
  for (int I = 0; I < 100; ++I) {
    All += Own.read();
    Log.flush();
  }
  BOOST_TEST(All.find("event=log-lines-dropped") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(routineLinesAreSampledAndNotableOnesAreNot) {
  const Pipe Own;
  EventLog Log(Own.Ends_[1], "vm1");
  for (int I = 0; I < 200; ++I) {
    Log.write(EventLine("routine"), EventWeight::Routine, base::TimePoint(1s));
    Log.write(EventLine("notable"), EventWeight::Notable, base::TimePoint(1s));
  }
  Log.flush();
  const std::string Text = Own.read();
  const auto Count = [&](const std::string &What) {
    int Found = 0;
    for (std::size_t At = Text.find(What); At != std::string::npos;
         At = Text.find(What, At + 1))
      ++Found;
    return Found;
  };
  BOOST_TEST(Count("event=notable") == 200);
  BOOST_TEST(Count("event=routine") < 50);
  BOOST_TEST(Count("left_out=") > 0);
}

BOOST_AUTO_TEST_SUITE_END()
