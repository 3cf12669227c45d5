#ifndef EBONY_PLATFORM_PLATFORMCLIENT_H
#define EBONY_PLATFORM_PLATFORMCLIENT_H

#include "config/objectstore.h"
#include "config/tableservice.h"
#include "httpkit/httpclient.h"
#include "platform/vmlist.h"

#include <optional>

namespace ebony::platform {

/// HTTP client for the platform's table service, object store and list of entry
/// VMs. Thread-safe.
class PlatformClient final : public config::TableService,
                             public config::ObjectStore {
public:
  explicit PlatformClient(httpkit::HttpClient Client);

  config::TableReply
  transact(const config::TableTransaction &Transaction) override;
  config::TableReply row(const std::string &Key) override;
  config::TableReply scan(const std::string &Prefix, const std::string &After,
                          std::size_t Limit) override;

  bool put(const std::string &Name, const std::string &Bytes) override;
  std::optional<std::string> get(const std::string &Name) override;

  /// Returns the list of entry VMs, or std::nullopt when the request fails or
  /// the response is malformed.
  std::optional<VmList> listVms();

private:
  httpkit::HttpClient Client_;
};

} // namespace ebony::platform

#endif
