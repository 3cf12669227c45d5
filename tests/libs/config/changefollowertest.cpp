#include "config/changefollower.h"
#include "config/changecodec.h"
#include "config/configkeys.h"
#include "config/snapshotwriter.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace ebony;
using namespace ebony::config;
using namespace std::chrono_literals;

namespace {

class NullObserver final : public ConfigObserver {
public:
  void onChange(const ChangeSet &, const RecordSet &) override {}
  void onSnapshot(const RecordSet &) override { ++Snapshots_; }

  int Snapshots_ = 0;
};

// In-memory platform that answers every request immediately. Objects are stored
// as rows.
class FakeStore {
public:
  TableReply perform(const StoreRequest &Request) {
    ++Requests_;
    TableReply Reply{TableOutcome::Done, {}, 0};
    if (Request.Call_ == StoreCall::PutObject)
      Rows_[Request.Key_] = Request.Bytes_;
    else if (Request.Call_ == StoreCall::Transact)
      transact(Request.Transaction_);
    else if (Request.Call_ == StoreCall::Scan)
      scan(Request, &Reply);
    else
      Reply.Rows_.push_back(row(Request.Key_));
    return Reply;
  }

  // Commits the revisions First to Last.
  void commit(Revision First, Revision Last) {
    for (Revision Number = First; Number <= Last; ++Number) {
      const ChangeSet Change{Number,
                             OperationId("o" + std::to_string(Number)),
                             {{{"Key", std::to_string(Number)}, "{}"}}};
      Rows_[ConfigKeys::change(Number)] = ChangeCodec::encode(Change);
      Rows_[ConfigKeys::operation(Change.Operation_)] = "x";
      Rows_[ConfigKeys::head()] = ChangeCodec::encodeRevision(Number);
    }
  }

  std::map<std::string, std::string> Rows_;
  int Requests_ = 0;

private:
  TableRow row(const std::string &Key) const {
    const auto Found = Rows_.find(Key);
    return Found == Rows_.end() ? TableRow{Key, 0, ""}
                                : TableRow{Key, 1, Found->second};
  }

  void scan(const StoreRequest &Request, TableReply *Reply) const {
    for (auto Found = Rows_.upper_bound(std::max(Request.Key_, Request.After_));
         Found != Rows_.end() && Reply->Rows_.size() < Request.Limit_ &&
         Found->first.compare(0, Request.Key_.size(), Request.Key_) == 0;
         ++Found)
      Reply->Rows_.push_back({Found->first, 1, Found->second});
  }

  void transact(const TableTransaction &Transaction) {
    for (const RowPut &Put : Transaction.Puts_)
      Rows_[Put.Key_] = Put.Value_;
    for (const std::string &Key : Transaction.Deletes_)
      Rows_.erase(Key);
  }
};

class Fixture {
public:
  Fixture() : Replica_(64, Observer_), Follower_(Replica_, {500ms, 20, 16}) {}

  void poll() {
    Now_ += 1s;
    while (const auto Request = Follower_.nextRequest(Now_)) {
      Follower_.handle(FakeStore_.perform(*Request));
      BOOST_TEST_REQUIRE(FakeStore_.Requests_ < 1000);
    }
  }

  void writeSnapshot() {
    SnapshotWriter Writer(Replica_.records(), {10, 30, 1000});
    while (const auto Request = Writer.nextRequest())
      Writer.handle(FakeStore_.perform(*Request));
  }

  base::TimePoint Now_;
  FakeStore FakeStore_;
  NullObserver Observer_;
  ConfigReplica Replica_;
  ChangeFollower Follower_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(changefollowertest)

BOOST_AUTO_TEST_CASE(evidenceHasTheTimeOfThePollRequest) {
  Fixture Case;
  Case.FakeStore_.commit(1, 3);
  Case.poll();
  BOOST_TEST(Case.Replica_.revision() == 3);
  BOOST_TEST((*Case.Follower_.evidence() == FreshnessEvidence{3, Case.Now_}));
  BOOST_TEST(!Case.Follower_.nextRequest(Case.Now_ + 400ms));
}

BOOST_AUTO_TEST_CASE(catchesUpFromSnapshotWhenRowsArePruned) {
  Fixture Writer;
  Writer.FakeStore_.commit(1, 50);
  Writer.poll();
  Writer.writeSnapshot();
  BOOST_TEST(Writer.FakeStore_.Rows_.count(ConfigKeys::change(20)) == 0U);
  BOOST_TEST(Writer.FakeStore_.Rows_.count("config/operation/o20") == 0U);
  BOOST_TEST(Writer.FakeStore_.Rows_.count(ConfigKeys::change(21)) == 1U);
  Fixture Late;
  Late.FakeStore_ = Writer.FakeStore_;
  Late.FakeStore_.commit(51, 55);
  Late.poll();
  BOOST_TEST(Late.Observer_.Snapshots_ == 1);
  BOOST_TEST(Late.Replica_.revision() == 55);
  BOOST_TEST(Late.Replica_.records().size() == 55U);
}

BOOST_AUTO_TEST_CASE(endsPollWhenRowsAndSnapshotAreMissing) {
  Fixture Case;
  Case.FakeStore_.commit(5, 6);
  Case.poll();
  BOOST_TEST(Case.Replica_.revision() == 0);
  BOOST_TEST(!Case.Follower_.evidence());
}

BOOST_AUTO_TEST_CASE(keepsRevisionWhenTableLostChanges) {
  Fixture Case;
  Case.FakeStore_.commit(1, 9);
  Case.poll();
  const auto Before = Case.Follower_.evidence();
  Case.FakeStore_.Rows_.clear();
  Case.FakeStore_.commit(1, 4);
  Case.poll();
  BOOST_TEST(Case.Replica_.revision() == 9);
  BOOST_TEST(Case.Follower_.hasTableLostChanges());
  BOOST_TEST((Case.Follower_.evidence() == Before));
}

BOOST_AUTO_TEST_CASE(rejectsOlderOrTruncatedSnapshot) {
  Fixture Case;
  Case.FakeStore_.commit(1, 3);
  Case.poll();
  BOOST_TEST(!Case.Replica_.install(RecordSet()));
  BOOST_TEST(Case.Replica_.revision() == 3);
  BOOST_TEST(!ChangeCodec::decodeSnapshot(
      ChangeCodec::encodeSnapshot(Case.Replica_.records()).substr(0, 60)));
}

// Another writer's rows stand among the changes, more of them than one page
// holds.
BOOST_AUTO_TEST_CASE(oddRowsAmongChangesArePassedOver) {
  Fixture Case;
  Case.FakeStore_.commit(1, 50);
  for (const char *Name : {"", "&", "+", "#%", " ", "zzz"})
    Case.FakeStore_.Rows_[ConfigKeys::changes() + Name] = "\xff no change";
  // It reads like a later change.
  Case.FakeStore_.Rows_[ConfigKeys::change(9) + "&x"] =
      Case.FakeStore_.Rows_[ConfigKeys::change(11)];
  for (int Number = 0; Number < 40; ++Number)
    Case.FakeStore_.Rows_[ConfigKeys::change(4) + std::to_string(Number)] = "";
  Case.poll();
  BOOST_TEST(Case.Replica_.revision() == 50);
  BOOST_TEST(Case.Replica_.records().size() == 50U);
  Case.FakeStore_.commit(51, 52);
  Case.poll();
  BOOST_TEST(Case.Replica_.revision() == 52);
  Case.writeSnapshot();
  BOOST_TEST(Case.FakeStore_.Rows_.count(ConfigKeys::change(20)) == 0U);
  BOOST_TEST(Case.FakeStore_.Rows_.count(ConfigKeys::change(9) + "&x") == 1U);
}

BOOST_AUTO_TEST_CASE(snapshotReplacesDamagedChange) {
  Fixture Writer;
  Writer.FakeStore_.commit(1, 15);
  Writer.poll();
  Writer.writeSnapshot();
  Writer.FakeStore_.Rows_[ConfigKeys::change(7)] = "\xff";
  Writer.FakeStore_.commit(16, 18);
  Fixture Late;
  Late.FakeStore_ = Writer.FakeStore_;
  Late.poll();
  BOOST_TEST(Late.Replica_.revision() == 18);
}

BOOST_AUTO_TEST_SUITE_END()
