#include "config/storeclient.h"

#include <functional>

namespace ebony::config {

TableReply StoreClient::perform(const StoreRequest &Request) {
  using Call = TableReply (StoreClient::*)(const StoreRequest &);
  // Indexed by StoreCall.
  static constexpr Call Calls[] = {&StoreClient::transact, &StoreClient::row,
                                   &StoreClient::scan, &StoreClient::putObject,
                                   &StoreClient::getObject};
  return std::invoke(Calls[static_cast<std::size_t>(Request.Call_)], this,
                     Request);
}

TableReply StoreClient::transact(const StoreRequest &Request) {
  return Table_.transact(Request.Transaction_);
}

TableReply StoreClient::row(const StoreRequest &Request) {
  return Table_.row(Request.Key_);
}

TableReply StoreClient::scan(const StoreRequest &Request) {
  return Table_.scan(Request.Key_, Request.After_, Request.Limit_);
}

TableReply StoreClient::putObject(const StoreRequest &Request) {
  const bool Stored = Objects_.put(Request.Key_, Request.Bytes_);
  return {Stored ? TableOutcome::Done : TableOutcome::Unknown, {}, 0};
}

TableReply StoreClient::getObject(const StoreRequest &Request) {
  auto Bytes = Objects_.get(Request.Key_);
  if (!Bytes)
    return {TableOutcome::Unavailable, {}, 0};
  return {TableOutcome::Done, {{Request.Key_, 1, std::move(*Bytes)}}, 0};
}

} // namespace ebony::config
