#include "idempotency/idempotencykey.h"
#include "idempotency/attemptmark.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::idempotency;

namespace {

const RequestSession Session(SubmissionOwner(base::VmAddress("127.1.2.3"), -9),
                             4, 0xabcdefU, 0x123456789abcdefU);

} // namespace

BOOST_AUTO_TEST_SUITE(idempotencykeytest)

BOOST_AUTO_TEST_CASE(sessionsRoundTripThroughText) {
  BOOST_CHECK(RequestSession::parse(Session.text()).value() == Session);
  const IdempotencyKey Key(Session, 18);
  const auto Parsed = IdempotencyKey::parse(Key.text());
  BOOST_TEST_REQUIRE(Parsed.has_value());
  BOOST_CHECK(Parsed.value() == Key);
}

BOOST_AUTO_TEST_CASE(rejectsDamagedSessions) {
  const std::string Intact = IdempotencyKey(Session, 18).text();
  for (std::size_t Length = 4; Length < Intact.size() - 1; ++Length)
    BOOST_TEST(IdempotencyKey::parse(Intact.substr(0, Length)).has_error(),
               "cut to " << Length);
  for (std::size_t Position = 4; Position < Intact.rfind('.'); ++Position) {
    std::string Changed = Intact;
    Changed[Position] = Changed[Position] == '7' ? '8' : '7';
    BOOST_TEST(IdempotencyKey::parse(Changed).has_error(),
               "changed at " << Position);
  }
  for (const char *Tail : {"x", "-1", " ", ".", "99999999999999999999"})
    BOOST_TEST(IdempotencyKey::parse(Intact + Tail).has_error(), Tail);
}

BOOST_AUTO_TEST_CASE(parsesOtherTextAsCallerMadeKey) {
  const auto CallerKey = IdempotencyKey::parse("trade-17").value();
  BOOST_CHECK(CallerKey.kind() == IdempotencyKey::Kind::CallerMade);
  BOOST_TEST(CallerKey.text() == "trade-17");
  BOOST_CHECK(IdempotencyKey::parse("").value().kind() ==
              IdempotencyKey::Kind::None);
  BOOST_TEST(IdempotencyKey::parse(std::string(256, 'k')).has_error());
  BOOST_TEST(IdempotencyKey::parse("a b").has_error());
  BOOST_TEST(IdempotencyKey::parse("a\nb").has_error());
}

BOOST_AUTO_TEST_CASE(isFirstOnlyForAttemptOneWithoutResend) {
  const AttemptMark First = AttemptMark::parse("1").value();
  BOOST_TEST(First.isFirst());
  BOOST_TEST(!First.resent().isFirst());
  BOOST_TEST(!AttemptMark::parse("2").value().isFirst());
  BOOST_TEST(!AttemptMark::parse("").value().isFirst());
  for (const char *Malformed : {"0", "-1", "1x", "4294967296"})
    BOOST_TEST(AttemptMark::parse(Malformed).has_error(), Malformed);
}

BOOST_AUTO_TEST_SUITE_END()
