#include "base/randomengine.h"
#include "platform/upstreamdecoder.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::adapter;
using namespace std::chrono_literals;

namespace {

const std::string Whole =
    R"({"service":"s1","address":"10.1.0.35:8021","zone":"east-a","version":"v1",)"
    R"("slots":9,"state":"ready","coldRemainingMs":1500,"sequence":4,"born":1774968465268})";

std::optional<traffic::UpstreamEntry> decode(const std::string &Value,
                                             const std::string &Key = "i-1") {
  return decodeUpstream({Key, Value, 5, false});
}

/// The entry with one value replaced.
std::string with(const std::string &Old, const std::string &New) {
  std::string Text = Whole;
  Text.replace(Text.find(Old), Old.size(), New);
  return Text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(oddentrytest)

BOOST_AUTO_TEST_CASE(wholeEntryIsUsed) {
  const auto Entry = decode(Whole);
  BOOST_TEST_REQUIRE(Entry.has_value());
  BOOST_TEST(Entry->Address_ == "10.1.0.35");
  BOOST_TEST(Entry->Port_ == 8021);
  BOOST_TEST((Entry->ColdRemaining_ == 1500ms));
  BOOST_TEST(Entry->StartedUnixMs_ == 1774968465268);
}

// A port that wraps around, or an address that is not one, sends requests to a
// process that is not meant.
BOOST_AUTO_TEST_CASE(entryWithOddAddressNamesNoUpstream) {
  for (const char *Address :
       {"10.1.0.35:4294967376", "10.1.0.35:65536", "10.1.0.35:80x",
        "10.1.0.35:-80", "10.1.0.35:+80", "10.1.0.35: 80", "10.1.0.35:0",
        "10.1.0.35:", "10.1.0.35", ":80", "not an ip:80", "10.1.0:80",
        "010.1.0.35.:80", "0.0.0.0:80", "host.example:80"})
    BOOST_TEST(!decode(with("10.1.0.35:8021", Address)).has_value(), Address);
}

// A cold time past the end of time counted as none, so that a cold upstream was
// taken for warm.
BOOST_AUTO_TEST_CASE(entryWithNumberOutOfRangeNamesNoUpstream) {
  for (const char *Number : {"1e18", "1e300", "1e400", "\"1500\"", "null",
                             "12345678901234567890123456", "[1]", "true"})
    BOOST_TEST(!decode(with("1500", Number)).has_value(), Number);
  for (const char *Number : {"1e18", "1e300", "-1", "\"1774968465268\""})
    BOOST_TEST(!decode(with("1774968465268", Number)).has_value(), Number);
  for (const char *Number : {"0", "-9", "1e300", "100001", "\"9\""})
    BOOST_TEST(!decode(with("9,", std::string(Number) + ",")).has_value(),
               Number);
}

// The name is sent to the upstream in a header field.
BOOST_AUTO_TEST_CASE(entryWithOddNameNamesNoUpstream) {
  for (const char *Key :
       {"", "i 1", "i\r\nX: y", "i\x7f", "i\x01", "i&1", "i+1", "i#1", "i%31",
        "i\"1", "i\\1", "i/1", "i?1", "i=1", "i\xc3\xa4"})
    BOOST_TEST(!decode(Whole, Key).has_value(), Key);
  for (const char *Key : {"i-7f3a91c2", "s_1.a~b", "10.1.0.35:8021", "I@z"})
    BOOST_TEST(decode(Whole, Key).has_value(), Key);
}

BOOST_AUTO_TEST_CASE(deeplyNestedEntryNamesNoUpstream) {
  for (const std::size_t Depth : {100UL, 129UL, 10000UL, 2000000UL}) {
    const std::string Open(Depth, '[');
    BOOST_TEST(!decode(Open).has_value());
    BOOST_TEST(!decode(Open + std::string(Depth, ']')).has_value());
  }
  std::string Objects;
  for (int I = 0; I < 10000; ++I)
    Objects += R"({"service":)";
  BOOST_TEST(!decode(Objects).has_value());
}

// Whatever another writer leaves, the process goes on, and what is decoded is
// within bounds.
BOOST_AUTO_TEST_CASE(damagedEntriesAreRefusedOrWithinBounds) {
  constexpr int Entries = 100000;
  base::RandomEngine Random(7);
  for (int I = 0; I < Entries; ++I) {
    std::string Text = Whole;
    for (std::uint64_t Changes = 1 + Random() % 3; Changes > 0; --Changes) {
      const std::size_t At = Random() % Text.size();
      if (Random() % 3 == 0)
        Text.erase(At, 1 + Random() % 4);
      else if (Random() % 2 == 0)
        Text.insert(At, 1, static_cast<char>(Random() % 256));
      else
        Text[At] = "0123456789eE.-+\"{}[]:,"[Random() % 22];
      if (Text.empty())
        break;
    }
    const auto Entry = decode(Text);
    if (!Entry)
      continue;
    BOOST_TEST_REQUIRE(Entry->Port_ > 0);
    BOOST_TEST_REQUIRE((Entry->ColdRemaining_ >= 0ms));
    BOOST_TEST_REQUIRE((Entry->ColdRemaining_ <= 1h));
    BOOST_TEST_REQUIRE(Entry->Slots_ >= 1);
    BOOST_TEST_REQUIRE(Entry->StartedUnixMs_ >= 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()
