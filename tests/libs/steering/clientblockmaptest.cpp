#include "steering/clientblockmap.h"

#include "base/randomengine.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace ebony::steering;
using ebony::base::RandomEngine;

namespace {

ClientBlock block(const std::string &Text) {
  return parseClientBlock(Text).value();
}

std::optional<SiteNumber> find(const ClientBlockMap &Map,
                               const std::string &Text) {
  return Map.find(parseClientAddress(Text).value());
}

ClientBlock randomBlock(RandomEngine &Random) {
  const auto Length = static_cast<std::uint8_t>(Random.below(13));
  const std::uint64_t Bits = Random();
  return {.Family_ = Random.chance(0.5) ? Family::IPv4 : Family::IPv6,
          .Key_ = Length == 0 ? 0 : Bits >> (64 - Length) << (64 - Length),
          .Length_ = Length};
}

using Model =
    std::map<std::tuple<Family, std::uint64_t, std::uint8_t>, SiteNumber>;

/// Finds the longest match by comparing all blocks.
std::optional<SiteNumber> findByLinearSearch(const Model &Blocks,
                                             const ClientAddress &Client) {
  std::optional<SiteNumber> Site;
  int Longest = -1;
  for (const auto &[Key, Value] : Blocks) {
    const ClientBlock Block{.Family_ = std::get<0>(Key),
                            .Key_ = std::get<1>(Key),
                            .Length_ = std::get<2>(Key)};
    if (Block.Family_ == Client.Family_ && Block.Key_ <= Client.Key_ &&
        Client.Key_ <= Block.lastKey() && Block.Length_ > Longest) {
      Longest = Block.Length_;
      Site = Value;
    }
  }
  return Site;
}

} // namespace

BOOST_AUTO_TEST_SUITE(clientblockmaptest)

BOOST_AUTO_TEST_CASE(longestPrefixWinsAndRemovalExposesOuterPrefix) {
  const ClientBlockMap Map = ClientBlockMap().withChanges(
      {{.Block_ = block("10.0.0.0/8"), .Site_ = 1},
       {.Block_ = block("10.1.0.0/16"), .Site_ = 2},
       {.Block_ = block("255.255.255.255/32"), .Site_ = 3},
       {.Block_ = block("2001:db8::/48"), .Site_ = 4}},
      7);
  BOOST_TEST(*find(Map, "10.0.255.255") == 1);
  BOOST_TEST(*find(Map, "10.1.0.0") == 2);
  BOOST_TEST(*find(Map, "10.2.0.0") == 1);
  BOOST_TEST(*find(Map, "255.255.255.255") == 3);
  BOOST_TEST(*find(Map, "2001:db8::7") == 4);
  BOOST_TEST(!find(Map, "11.0.0.0"));
  BOOST_TEST(!find(Map, "2001:db9::"));
  const ClientBlockMap Next =
      Map.withChanges({{.Block_ = block("10.1.0.0/16")}}, 8);
  BOOST_TEST(*find(Next, "10.1.0.0") == 1);
  BOOST_TEST(*find(Map, "10.1.0.0") == 2);
}

BOOST_AUTO_TEST_CASE(rejectsMalformedBlocks) {
  for (const char *Text : {"10.0.0.0", "10.0.0.1/8", "10.0.0.0/33", "10.0.0/8",
                           "2001:db8::/65", "10.0.0.0/8x", "/8"})
    BOOST_TEST(!parseClientBlock(Text), Text);
}

BOOST_AUTO_TEST_CASE(matchesLinearSearchAfterRandomDeltas) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    RandomEngine Random(Seed);
    ClientBlockMap Map;
    Model Blocks;
    for (int Delta = 0; Delta < 5; ++Delta) {
      std::vector<BlockChange> Changes;
      for (int Index = 0; Index < 40; ++Index) {
        const ClientBlock Block = randomBlock(Random);
        const auto Key =
            std::make_tuple(Block.Family_, Block.Key_, Block.Length_);
        if (Random.chance(0.3)) {
          Changes.push_back({.Block_ = Block});
          Blocks.erase(Key);
        } else {
          const auto Site = static_cast<SiteNumber>(Random.below(630));
          Changes.push_back({.Block_ = Block, .Site_ = Site});
          Blocks[Key] = Site;
        }
      }
      Map = Map.withChanges(Changes, Delta);
      BOOST_TEST(Map.size() == Blocks.size(), "seed " << Seed);
      for (int Index = 0; Index < 200; ++Index) {
        const ClientAddress Client{.Family_ = Random.chance(0.5) ? Family::IPv4
                                                                 : Family::IPv6,
                                   .Key_ = Random()};
        BOOST_TEST((Map.find(Client) == findByLinearSearch(Blocks, Client)),
                   "seed " << Seed);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
