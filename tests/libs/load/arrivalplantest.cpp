#include "load/arrivalplan.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace ebony::load;
using namespace std::chrono_literals;

namespace {

const char Text[] = R"({"name":"w","seed":4,"workers":2,
  "classes":[{"name":"read","service":"status","method":"GET","path":"/t"},
             {"name":"affirm","service":"aff","method":"POST","path":"/a",
              "bodyBytes":10,"idempotencyKey":true}],
  "customers":[{"customer":"atlas","requestsPerSecond":100,
                "homeZones":["a","b"],"mix":{"read":3,"affirm":1}},
               {"customer":"hydra","requestsPerSecond":10,
                "homeZones":["a"],"mix":{"read":1}}]})";

} // namespace

BOOST_AUTO_TEST_SUITE(arrivalplantest)

BOOST_AUTO_TEST_CASE(arrivalsFollowRatesAndMixReproducibly) {
  const Workload Load = parseWorkload(Text, "w").value();
  const auto Arrivals = planArrivals(Load, 100s);
  BOOST_TEST((Arrivals == planArrivals(Load, 100s)));
  BOOST_TEST(std::ranges::is_sorted(Arrivals, {}, &Arrival::When_));
  BOOST_TEST((Arrivals.back().When_ < 100s));
  // The tolerances are five standard deviations of a Poisson count.
  const auto Atlas = std::ranges::count(Arrivals, 0U, &Arrival::Customer_);
  const auto Hydra = std::ranges::count(Arrivals, 1U, &Arrival::Customer_);
  BOOST_TEST(std::abs(Atlas - 10000) < 500);
  BOOST_TEST(std::abs(Hydra - 1000) < 160);
  BOOST_TEST(std::abs(std::ranges::count(Arrivals, 1U, &Arrival::Class_) -
                      2500) < 250);
}

BOOST_AUTO_TEST_CASE(reportsEveryInvalidWorkloadField) {
  const auto Bad = parseWorkload(
      R"({"name":"w","seed":4,"workers":0,"colour":1,"customers":[
          {"customer":"a","requestsPerSecond":0,"mix":{"x":1}}]})",
      "w");
  BOOST_TEST_REQUIRE(Bad.has_error());
  const std::string FindingsText = ebony::base::toText(Bad.error());
  for (const char *Path :
       {"$.workers", "$.colour", "mix.x", "requestsPerSecond", "homeZones"})
    BOOST_TEST(FindingsText.find(Path) != std::string::npos, Path);
}

BOOST_AUTO_TEST_SUITE_END()
