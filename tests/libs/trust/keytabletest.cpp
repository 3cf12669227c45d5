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
  for (std::uint8_t &Byte : Bytes)
    Byte = static_cast<std::uint8_t>(Random());
  return KeyGenerator::generate(Customer, Bytes);
}

} // namespace

BOOST_AUTO_TEST_SUITE(keytabletest)

BOOST_AUTO_TEST_CASE(acceptsOnlyTheCompleteKey) {
  KeyTable Keys;
  const GeneratedKey Key = make(Bank, 1);
  Keys.put(Key.Entry_);
  BOOST_TEST((Keys.check(Key.Text_) ==
              KeyCheckResult{KeyCheckStatus::Accepted, Bank}));
  std::string Changed = Key.Text_;
  Changed.back() = Changed.back() == '0' ? '1' : '0';
  const std::string Id = Key.Entry_.Id_;
  for (const std::string &Text : {Changed, Id, Id + ".", std::string(),
                                  Key.Entry_.Id_ + "." + Key.Entry_.Hash_,
                                  make(Bank, 2).Text_, Key.Text_ + "0"})
    BOOST_TEST(
        (Keys.check(Text) == KeyCheckResult{KeyCheckStatus::Rejected, {}}));
  BOOST_TEST(Key.Entry_.Hash_.find(Key.Text_) == std::string::npos);
  Keys.erase(Id);
  BOOST_TEST(!Keys.check(Key.Text_).isAccepted());
}

BOOST_AUTO_TEST_CASE(rejectsKeyOfAnotherCustomer) {
  KeyTable Keys;
  const GeneratedKey Key = make(Bank, 1);
  Keys.put(Key.Entry_);
  BOOST_TEST((Keys.check(Key.Text_, Clinic) ==
              KeyCheckResult{KeyCheckStatus::WrongCustomer, {}}));
  KeyEntry Reassigned = Key.Entry_;
  Reassigned.Customer_ = Clinic;
  Keys.replaceAll({Reassigned});
  BOOST_TEST(Keys.size() == 1U);
  BOOST_TEST(
      (Keys.check(Key.Text_) == KeyCheckResult{KeyCheckStatus::Rejected, {}}));
}

BOOST_AUTO_TEST_CASE(refusesKeysWithoutFreshConfiguration) {
  KeyTable Keys;
  FreshnessTracker Freshness({5s, 0});
  const KeyAuthenticator Authenticator(Keys, Freshness);
  const GeneratedKey Key = make(Bank, 1);
  Keys.put(Key.Entry_);
  const base::TimePoint Start(1h);
  Freshness.addEvidence({0, Start});
  BOOST_TEST(Authenticator.check(Key.Text_, Bank, Start + 4s).isAccepted());
  BOOST_TEST((Authenticator.check(Key.Text_, Bank, Start + 5s) ==
              KeyCheckResult{KeyCheckStatus::NotFresh, {}}));
}

BOOST_AUTO_TEST_SUITE_END()
