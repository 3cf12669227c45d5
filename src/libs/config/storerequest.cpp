#include "config/storerequest.h"

#include <utility>

namespace ebony::config {

StoreRequest StoreRequest::transact(TableTransaction Transaction) {
  return {StoreCall::Transact, std::move(Transaction), "", "", 0, ""};
}

StoreRequest StoreRequest::row(std::string Key) {
  return {StoreCall::Row, {}, std::move(Key), "", 0, ""};
}

StoreRequest StoreRequest::scan(std::string Prefix, std::string After,
                                std::size_t Limit) {
  return {StoreCall::Scan, {}, std::move(Prefix), std::move(After), Limit, ""};
}

StoreRequest StoreRequest::putObject(std::string Name, std::string Bytes) {
  return {StoreCall::PutObject, {}, std::move(Name), "", 0, std::move(Bytes)};
}

StoreRequest StoreRequest::getObject(std::string Name) {
  return {StoreCall::GetObject, {}, std::move(Name), "", 0, ""};
}

} // namespace ebony::config
