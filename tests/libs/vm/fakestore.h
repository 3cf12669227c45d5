#ifndef EBONY_TESTS_VM_FAKESTORE_H
#define EBONY_TESTS_VM_FAKESTORE_H

#include "asynckit/awaiting.h"
#include "store/rowstore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <string>
#include <vector>

namespace ebony::vm {

/// Rows of a FakeStore, by table.
using FakeRows = std::map<std::string, std::vector<store::Row>>;

/// Store with fixed rows that never change.
class FakeStore final : public store::RowStore {
public:
  FakeStore(boost::asio::io_context &Context, const FakeRows &Rows)
      : Timer_(Context), Rows_(Rows) {}

  asynckit::awaitable<store::RowsResult> readAll(std::string Table) override {
    const auto Entry = Rows_.find(Table);
    store::RowsResult Result;
    Result.Status_ = store::StoreStatus::Done;
    if (Entry != Rows_.end())
      Result.Rows_.Rows_ = Entry->second;
    co_return Result;
  }

  asynckit::awaitable<store::RowsResult>
  readChanges(std::string, std::int64_t, base::Duration Wait) override {
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
  boost::asio::steady_timer Timer_;
  const FakeRows &Rows_;
};

} // namespace ebony::vm

#endif
