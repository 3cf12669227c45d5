#include "libs/vm/requestpathfixture.h"
#include "platform/pagingstore.h"
#include "platform/storeclient.h"
#include "platform/upstreamdecoder.h"

#include <boost/test/unit_test.hpp>

using namespace ebony;
using namespace ebony::adapter;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t RowsPerPage = 3;

// Names that another writer may give its entries. They end most pages.
const std::vector<std::string> OddNames = {
    "a&b",   "a+b",   "a#b",     "a%b",       "a b",  "a\"b",
    "a\\b",  "a\tb",  "a=b&c=d", "a%26b",     "a%zz", "b\xc3\xa4",
    "b\x7f", "b/c?d", "t&limit", "t%00",      "t+",   "u&",
    "u#v",   "u'v",   "v;w",     "v<w>x",     "w{x}", "x^y`z",
    "y|z",   "z ",    " z",      "&from=zzz", "%",    "+"};

std::string entryAt(std::uint16_t Port) {
  return R"({"service":"s","address":"127.0.0.1:)" + std::to_string(Port) +
         R"(","zone":"z","slots":4,"state":"ready","sequence":4})";
}

struct StoreSlot {
  /// Owned by the binding, which is destroyed before the event loop.
  PagingStore *Store_ = nullptr;
};

/// A VM that starts while the entries of another writer stand in the list of
/// upstreams.
struct Vm : StoreSlot, vm::RequestPathFixture {
  vm::FakeUpstream OddUpstream_{Context_};

  /// \p Value is the content of the odd entries; one that names an upstream if
  /// it is not set.
  explicit Vm(const std::optional<std::string> &Value)
      : RequestPathFixture([this](vm::PlatformBinding &Binding) {
          auto Store = std::make_shared<PagingStore>(Context_, RowsPerPage);
          Store_ = Store.get();
          Binding.DecodeUpstream_ = decodeUpstream;
          Binding.MakeStore_ = [this, Store,
                                Era = std::make_shared<StoreEra>()] {
            return std::make_unique<StoreClient>(Context_, Store->endpoint(),
                                                 Era);
          };
        }) {
    OddUpstream_.start();
    Store_->put("operators", "configuration", "");
    Store_->put("upstreams", "s-1", entryAt(FirstUpstream_.port()));
    Store_->put("upstreams", "u-2", entryAt(SecondUpstream_.port()));
    for (const std::string &Name : OddNames)
      Store_->put("upstreams", Name,
                  Value.value_or(entryAt(OddUpstream_.port())));
  }

  /// Returns how many of \p Count requests are served within \p Limit.
  int countServed(int Count, base::Duration Limit) {
    int Served = 0;
    boost::asio::steady_timer Timer(Context_, Limit);
    Timer.async_wait([this](asynckit::error_code) { Context_.stop(); });
    run([&]() -> asynckit::awaitable<void> {
      for (int I = 0; I < Count; ++I) {
        const vm::TestResponse Response = co_await call("/read/a", I);
        Served += Response.result_int() == 200U ? 1 : 0;
      }
    }());
    return Served;
  }
};

void checkService(const std::optional<std::string> &Value) {
  constexpr int Requests = 40;
  Vm Started(Value);
  BOOST_TEST(Started.countServed(Requests, 5s) == Requests);
  BOOST_TEST(Started.OddUpstream_.requests().empty());
  BOOST_TEST(Started.Store_->refusedCalls() == 0);
  // Each table is read once; a page repeats the last row of the one before.
  const std::size_t Rows = OddNames.size() + 2;
  BOOST_TEST(static_cast<std::size_t>(Started.Store_->pagesRead()) <=
             Rows / (RowsPerPage - 1) + 2);
}

} // namespace

BOOST_AUTO_TEST_SUITE(oddnametest)

// Issue 50: VMs that were restarted while such an entry stood never became
// ready, since they read the same page of the list without end.
BOOST_AUTO_TEST_CASE(vmStartsBesideUnreadableEntriesWithOddNames) {
  checkService("\xff\x00 no entry");
}

// The name alone shows that the entry is another writer's.
BOOST_AUTO_TEST_CASE(entryWithOddNameNamesNoUpstreamToUse) {
  checkService(std::nullopt);
}

BOOST_AUTO_TEST_CASE(namesAreWrittenAsTheyAre) {
  boost::asio::io_context Context;
  PagingStore Store(Context, RowsPerPage);
  StoreClient Client(Context, Store.endpoint(), std::make_shared<StoreEra>());
  boost::asio::co_spawn(
      Context,
      [&]() -> asynckit::awaitable<void> {
        for (const std::string &Name : OddNames) {
          const auto Status = co_await Client.write("t", Name, "v", {});
          BOOST_TEST((Status == store::StoreStatus::Done), Name);
        }
        const store::RowsResult Read = co_await Client.readAll("t");
        BOOST_TEST(Read.Rows_.Rows_.size() == OddNames.size());
        Context.stop();
      },
      boost::asio::detached);
  Context.run_for(5s);
  const std::set<std::string> Expected(OddNames.begin(), OddNames.end());
  BOOST_TEST((Store.keys("t") == Expected));
}

BOOST_AUTO_TEST_SUITE_END()
