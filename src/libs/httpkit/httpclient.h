#ifndef EBONY_HTTPKIT_HTTPCLIENT_H
#define EBONY_HTTPKIT_HTTPCLIENT_H

#include "base/time.h"
#include "wire/endpoint.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ebony::httpkit {

/// Header field of a request.
struct Header {
  std::string Name_;
  std::string Value_;

  friend bool operator==(const Header &, const Header &) = default;
};

/// Request whose body is held in memory.
struct SmallRequest {
  std::string Method_ = "GET";
  std::string Target_ = "/";
  std::string Body_;
  std::vector<Header> Headers_;

  friend bool operator==(const SmallRequest &, const SmallRequest &) = default;
};

/// Complete response to a small request.
struct SmallResponse {
  int Status_ = 0;
  std::string Body_;

  friend bool operator==(const SmallResponse &,
                         const SmallResponse &) = default;
};

/// Client for small requests to one peer. Opens a connection for each request.
/// Thread-safe.
class HttpClient {
public:
  /// Binds connections to \p SourceAddress unless it is empty.
  HttpClient(wire::Endpoint Peer, std::string SourceAddress,
             base::Duration Timeout);

  /// Sends \p Request and returns the response. Returns std::nullopt when no
  /// complete response arrived within the timeout; the request may still have
  /// taken effect.
  std::optional<SmallResponse> send(const SmallRequest &Request) const;

private:
  wire::Endpoint Peer_;
  std::string SourceAddress_;
  base::Duration Timeout_;
};

} // namespace ebony::httpkit

#endif
