#include "quota/quotaexchange.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::quota;
using namespace std::chrono_literals;

namespace {

constexpr QuotaLimits Limits(1, 100 * TokensPerRequest, 50 * TokensPerRequest);
constexpr LoanTerms Terms(5s, 500, 50ms);
constexpr QuotaHolding Third({0, 0}, {WholeParts / 3, WholeParts / 3});
constexpr base::TimePoint Start{};

base::VmIdentity vm(const char *Address, const char *Zone) {
  return {base::VmAddress(Address), 1, base::ZoneName(Zone)};
}

const base::VmIdentity A = vm("1", "z1");
const base::VmIdentity B = vm("2", "z1");
const base::VmIdentity C = vm("3", "z2");

QuotaExchange exchange(const base::VmIdentity &Self,
                       const std::vector<QuotaPeer> &Peers,
                       QuotaHolding Drawn = Third) {
  QuotaLedger Ledger(Self, base::CustomerName("acme"), Limits, Terms, Drawn,
                     Start);
  QuotaExchange Exchange(std::move(Ledger), ExchangePolicy(), Start);
  Exchange.setPeers(Peers);
  Exchange.ledger().advance(Start + 1h);
  return Exchange;
}

/// Submits \p Count requests, one every 20 ms starting at \p From, and returns
/// the time of the next one.
base::TimePoint submit(QuotaExchange &Exchange, int Count,
                       base::TimePoint From) {
  for (; Count > 0; --Count, From += 20ms)
    if (Exchange.admit(From) == QuotaVerdict::Wait)
      Exchange.cancelWait();
  return From;
}

} // namespace

BOOST_AUTO_TEST_SUITE(quotaexchangetest)

BOOST_AUTO_TEST_CASE(requestsFromOwnZoneFirstBeforeRunningOut) {
  QuotaExchange Exchange = exchange(A, {{C, 40ms}, {B, 1ms}});
  base::TimePoint Now = Start + 1h;
  std::vector<QuotaMessage> Requests;
  while (Requests.empty() && Exchange.ledger().tokens() >= TokensPerRequest) {
    Now = submit(Exchange, 1, Now);
    Requests = Exchange.poll(Now);
  }
  BOOST_TEST_REQUIRE(!Requests.empty());
  BOOST_TEST((routeOf(Requests.front()).to() == B));
}

BOOST_AUTO_TEST_CASE(idlePeerLendsAndGetsItsLoanReturned) {
  QuotaExchange Exchange = exchange(A, {{C, 40ms}});
  QuotaExchange Lender = exchange(C, {{A, 40ms}});
  const base::TimePoint Now = submit(Exchange, 30, Start + 1h);
  for (const QuotaMessage &Request : Exchange.poll(Now))
    for (const QuotaMessage &Answer : Lender.receive(Request, Now))
      Exchange.receive(Answer, Now + 40ms);
  BOOST_TEST(Exchange.ledger().usable(Now + 40ms).rateParts() > WholeParts / 3);
  for (const QuotaMessage &Return : Exchange.poll(Now + 4s))
    Lender.receive(Return, Now + 4s);
  BOOST_TEST(Lender.ledger().usable(Now + 4s).rateParts() == WholeParts / 3);
}

BOOST_AUTO_TEST_CASE(waitsOnlyIfAPeerMayGrantQuota) {
  QuotaExchange Alone = exchange(A, {}, {});
  BOOST_TEST((Alone.admit(Start + 1h) == QuotaVerdict::Refuse));
  QuotaExchange Exchange = exchange(A, {{B, 1ms}}, {});
  BOOST_TEST((Exchange.admit(Start + 1h) == QuotaVerdict::Wait));
  QuotaExchange Peer = exchange(B, {});
  for (const QuotaMessage &Request : Exchange.poll(Start + 1h))
    for (const QuotaMessage &Answer : Peer.receive(Request, Start + 1h))
      Exchange.receive(Answer, Start + 1h);
  BOOST_TEST((Exchange.retry(Start + 1h) == QuotaVerdict::Admit));
}

BOOST_AUTO_TEST_CASE(backsOffWhilePeersHaveNothingToSpare) {
  QuotaExchange Exchange = exchange(A, {{B, 1ms}}, {});
  QuotaExchange Empty = exchange(B, {}, {});
  int RequestCount = 0;
  for (base::TimePoint Now = Start + 1h; Now < Start + 1h + 10s; Now += 5ms) {
    submit(Exchange, 1, Now);
    for (const QuotaMessage &Request : Exchange.poll(Now)) {
      ++RequestCount;
      for (const QuotaMessage &Answer : Empty.receive(Request, Now))
        Exchange.receive(Answer, Now);
    }
  }
  const auto MaxBackoff = ExchangePolicy().MaxBackoff_;
  BOOST_TEST(RequestCount >= 1);
  BOOST_TEST(RequestCount <= 3 * (10s / MaxBackoff));
}

BOOST_AUTO_TEST_CASE(transferAllEmptiesTheLedger) {
  QuotaExchange Exchange = exchange(A, {{B, 1ms}});
  QuotaExchange Successor = exchange(B, {{A, 1ms}});
  const base::TimePoint Now = Start + 1h;
  Successor.receive(Exchange.transferAll(B, Now), Now);
  BOOST_TEST(Exchange.ledger().usable(Now).isEmpty());
  BOOST_TEST(!Exchange.ledger().tryAdmit(Now));
  BOOST_TEST(Successor.ledger().usable(Now).rateParts() ==
             2 * (WholeParts / 3));
}

BOOST_AUTO_TEST_SUITE_END()
