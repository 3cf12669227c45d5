#ifndef EBONY_TESTS_VM_FAKESTORE_H
#define EBONY_TESTS_VM_FAKESTORE_H

#include "asynckit/awaiting.h"
#include "store/rowstore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace ebony::vm {

/// Rows of a FakeStore, by table.
using FakeRows = std::map<std::string, std::vector<store::Row>>;

/// What a FakeStore answers besides its rows.
struct FakeHistory {
  std::int64_t Position_ = 0;
  bool IsGone_ = false;
  /// Whether the store gives no answer.
  bool IsUnreachable_ = false;
  /// Whether whole tables cannot be read.
  bool IsUnreadable_ = false;
  int WholeReads_ = 0;
  /// Answers of the next reads of changes.
  std::deque<store::Rows> Changes_;
};

/// Store with rows that only the test changes. With a history, it answers at
/// once instead of waiting for changes.
class FakeStore final : public store::RowStore {
public:
  FakeStore(boost::asio::io_context &Context, const FakeRows &Rows,
            FakeHistory *History = nullptr)
      : Timer_(Context), Rows_(Rows), History_(History) {}

  asynckit::awaitable<store::RowsResult> readAll(std::string Table) override {
    const auto Entry = Rows_.find(Table);
    store::RowsResult Result;
    Result.Status_ = store::StoreStatus::Done;
    if (Entry != Rows_.end())
      Result.Rows_.Rows_ = Entry->second;
    if (History_) {
      ++History_->WholeReads_;
      Result.Rows_.Version_ = History_->Position_;
      History_->IsGone_ = false;
      if (History_->IsUnreadable_) {
        Result.Status_ = store::StoreStatus::Malformed;
        Result.Problem_ = "unreadable";
      }
    }
    co_return Result;
  }

  asynckit::awaitable<store::RowsResult>
  readChanges(std::string, std::int64_t, base::Duration Wait) override {
    if (History_)
      co_return readHistory();
    Timer_.expires_after(Wait);
    asynckit::error_code Ignored; // Cancelled when the test ends.
    co_await Timer_.async_wait(asynckit::into(Ignored));
    store::RowsResult Result;
    Result.Status_ = store::StoreStatus::Done;
    co_return Result;
  }

  asynckit::awaitable<store::StoreStatus>
  write(std::string, std::string, std::string,
        std::optional<std::int64_t>) override {
    co_return store::StoreStatus::Done;
  }

private:
  store::RowsResult readHistory() {
    store::RowsResult Result;
    Result.Status_ = History_->IsUnreachable_ ? store::StoreStatus::NoAnswer
                     : History_->IsGone_      ? store::StoreStatus::HistoryGone
                                              : store::StoreStatus::Done;
    if (History_->IsUnreachable_)
      return Result;
    Result.Rows_.Version_ = History_->Position_;
    if (!History_->IsGone_ && !History_->Changes_.empty()) {
      Result.Rows_ = History_->Changes_.front();
      History_->Changes_.pop_front();
    }
    return Result;
  }

  boost::asio::steady_timer Timer_;
  const FakeRows &Rows_;
  FakeHistory *History_;
};

} // namespace ebony::vm

#endif
