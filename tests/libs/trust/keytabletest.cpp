#include "base/randomengine.h"
#include "trust/keyauthenticator.h"
#include "trust/keygenerator.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::trust;
using namespace std::chrono_literals;

namespace {

const base::CustomerName Bank("bank");
const base::CustomerName Clinic("clinic");

GeneratedKey make(const base::CustomerName &Customer, std::uint64_t Seed) {
  base::RandomEngine Random(Seed);
  KeyGenerator::RandomBytes Bytes;
  for (std::uint8_t &One : Bytes)
    One = static_cast<std::uint8_t>(Random());
  return KeyGenerator::generate(Customer, Bytes);
}

} // namespace

BOOST_AUTO_TEST_SUITE(keytabletest)

BOOST_AUTO_TEST_CASE(onlyTheWholeKeyIsAccepted) {
  KeyTable Keys;
  const GeneratedKey One = make(Bank, 1);
  Keys.put(One.Entry_);
  BOOST_TEST((Keys.check(One.Text_) ==
              KeyCheckResult{KeyCheckStatus::Accepted, Bank}));
  std::string Changed = One.Text_;
  Changed.back() = Changed.back() == '0' ? '1' : '0';
  const std::string Id = One.Entry_.Id_;
  for (const std::string &Text : {Changed, Id, Id + ".", std::string(),
                                  One.Entry_.Id_ + "." + One.Entry_.Hash_,
                                  make(Bank, 2).Text_, One.Text_ + "0"})
    BOOST_TEST(
        (Keys.check(Text) == KeyCheckResult{KeyCheckStatus::Rejected, {}}));
  BOOST_TEST(One.Entry_.Hash_.find(One.Text_) == std::string::npos);
  Keys.erase(Id);
  BOOST_TEST(!Keys.check(One.Text_).isAccepted());
}

BOOST_AUTO_TEST_CASE(keyAndCustomerAreBoundToEachOther) {
  KeyTable Keys;
  const GeneratedKey One = make(Bank, 1);
  Keys.put(One.Entry_);
  BOOST_TEST((Keys.check(One.Text_, Clinic) ==
              KeyCheckResult{KeyCheckStatus::WrongCustomer, {}}));
  KeyEntry Moved = One.Entry_;
  Moved.Customer_ = Clinic;
  Keys.replaceAll({Moved});
  BOOST_TEST(Keys.size() == 1U);
  BOOST_TEST(
      (Keys.check(One.Text_) == KeyCheckResult{KeyCheckStatus::Rejected, {}}));
}

BOOST_AUTO_TEST_CASE(gateRefusesWithoutFreshness) {
  KeyTable Keys;
  FreshnessTracker Freshness({5s, 0});
  const KeyAuthenticator Gate(Keys, Freshness);
  const GeneratedKey One = make(Bank, 1);
  Keys.put(One.Entry_);
  const base::TimePoint Start(1h);
  Freshness.addEvidence({0, Start});
  BOOST_TEST(Gate.check(One.Text_, Bank, Start + 4s).isAccepted());
  BOOST_TEST((Gate.check(One.Text_, Bank, Start + 5s) ==
              KeyCheckResult{KeyCheckStatus::NotFresh, {}}));
}

BOOST_AUTO_TEST_SUITE_END()
