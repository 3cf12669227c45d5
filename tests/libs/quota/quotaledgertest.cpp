#include "quota/quotaledger.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::quota;
using namespace std::chrono_literals;

namespace {

constexpr LoanTerms Terms(2s, 500, 50ms);
constexpr QuotaLimits Limits(1, 100 * TokensPerRequest, 50 * TokensPerRequest);
constexpr QuotaHolding Half({WholeParts / 4, WholeParts / 4},
                            {WholeParts / 4, WholeParts / 4});
constexpr QuotaShare Quarter(WholeParts / 4, WholeParts / 4);
constexpr QuotaShare Whole(WholeParts, WholeParts);
constexpr base::TimePoint Start{};

base::VmIdentity vm(const char *Address, const char *Zone, int Number = 1) {
  return {base::VmAddress(Address), Number, base::ZoneName(Zone)};
}

QuotaLedger ledger(const base::VmIdentity &Self, QuotaHolding Drawn) {
  return {Self, base::CustomerName("acme"), Limits, Terms, Drawn, Start};
}

int countAdmitted(QuotaLedger &Ledger, base::TimePoint Now) {
  int Count = 0;
  while (Ledger.tryAdmit(Now))
    ++Count;
  return Count;
}

const base::VmIdentity A = vm("1", "z1");
const base::VmIdentity B = vm("2", "z1");
const base::VmIdentity C = vm("3", "z2");

} // namespace

BOOST_AUTO_TEST_SUITE(quotaledgertest)

BOOST_AUTO_TEST_CASE(startsEmptyAndFillsUpToBurst) {
  QuotaLedger Ledger = ledger(A, Half);
  BOOST_TEST(!Ledger.tryAdmit(Start));
  BOOST_TEST(countAdmitted(Ledger, Start + 101ms) == 5);
  BOOST_TEST(countAdmitted(Ledger, Start + 1h) == 25);
}

BOOST_AUTO_TEST_CASE(transferAppliesOnceAndMakesUpForLostGrant) {
  QuotaLedger Sender = ledger(A, Half);
  QuotaLedger Receiver = ledger(B, {});
  const base::TimePoint Now = Start + 1h;
  const TransferGrant Lost = Sender.transfer(B, Quarter, 0, Now);
  const TransferGrant Second = Sender.transfer(B, {100, 100}, 0, Now);
  BOOST_TEST(Sender.usable(Now).rateParts() == WholeParts / 4 - 100);
  BOOST_TEST(Receiver.accept(Second, Now));
  BOOST_TEST(!Receiver.accept(Second, Now));
  BOOST_TEST(!Receiver.accept(Lost, Now));
  BOOST_TEST(Receiver.usable(Now).rateParts() == WholeParts / 4 + 100);
  BOOST_TEST(countAdmitted(Sender, Now) + countAdmitted(Receiver, Now) == 24);
}

BOOST_AUTO_TEST_CASE(ignoresGrantToEarlierIncarnation) {
  QuotaLedger Sender = ledger(A, Half);
  QuotaLedger Restarted = ledger(vm("2", "z1", 2), {});
  BOOST_TEST(!Restarted.accept(Sender.transfer(B, Quarter, 0, Start), Start));
}

BOOST_AUTO_TEST_CASE(neverLendsFloor) {
  QuotaLedger Lender = ledger(A, Half);
  QuotaLedger Borrower = ledger(C, {});
  const auto Request = Borrower.requestLoan(A, Whole, 0, Start);
  const LoanGrant Grant = Lender.lend(Request, Whole, Start);
  BOOST_TEST((Grant.share() == Half.lendable()));
  BOOST_TEST((Lender.owned() == QuotaHolding(Half.floor(), {})));
}

BOOST_AUTO_TEST_CASE(loanExpiresAtBorrowerBeforeLenderReclaims) {
  QuotaLedger Lender = ledger(A, Half);
  QuotaLedger Borrower = ledger(C, {});
  const auto Request = Borrower.requestLoan(A, Whole, 0, Start);
  BOOST_TEST(Borrower.accept(Lender.lend(Request, Whole, Start), Start + 1s));
  const base::TimePoint Expiry = Start + 2s;
  BOOST_TEST(Borrower.usable(Expiry - 1us).rateParts() == WholeParts / 4);
  BOOST_TEST(Borrower.usable(Expiry).isEmpty());
  BOOST_TEST(Lender.usable(Expiry + 50ms).rateParts() == WholeParts / 4);
  BOOST_TEST(Lender.usable(Expiry + 53ms).rateParts() == WholeParts / 2);
  BOOST_TEST(!Borrower.tryAdmit(Expiry + 1h));
}

BOOST_AUTO_TEST_CASE(renewalExtendsLenderBeforeBorrower) {
  QuotaLedger Lender = ledger(A, Half);
  QuotaLedger Borrower = ledger(C, {});
  const auto Request = Borrower.requestLoan(A, Whole, 0, Start);
  Borrower.accept(Lender.lend(Request, Whole, Start), Start);
  const auto Renewal =
      Borrower.requestRenewal({A, Request.number()}, Start + 1s);
  const LoanGrant Answer = Lender.lend(Renewal.value(), Whole, Start + 1500ms);
  BOOST_TEST(Lender.usable(Start + 3500ms).rateParts() == WholeParts / 4);
  Borrower.accept(Answer, Start + 1600ms);
  BOOST_TEST(!Borrower.usable(Start + 2999ms).isEmpty());
  BOOST_TEST(Borrower.usable(Start + 3s).isEmpty());
}

BOOST_AUTO_TEST_CASE(settlementRestoresTransferredParts) {
  QuotaLedger Successor = ledger(A, Half);
  QuotaLedger Departed = ledger(B, Half);
  const base::TimePoint Now = Start + 1h;
  Departed.accept(Successor.transfer(B, Quarter, 0, Now), Now);
  Successor.applySettlement({{B}, Half, {}}, Now);
  BOOST_TEST(Successor.usable(Now).rateParts() == WholeParts);
  BOOST_TEST(!Successor.accept(Departed.transfer(A, Quarter, 0, Now), Now));
}

BOOST_AUTO_TEST_CASE(appliesNewLimitsAndIgnoresOlderOnes) {
  QuotaLedger Ledger = ledger(A, Half);
  Ledger.advance(Start + 1h);
  Ledger.setLimits({2, 10 * TokensPerRequest, 10 * TokensPerRequest},
                   Start + 1h);
  Ledger.setLimits(Limits, Start + 1h);
  BOOST_TEST(countAdmitted(Ledger, Start + 1h) == 5);
}

BOOST_AUTO_TEST_SUITE_END()
