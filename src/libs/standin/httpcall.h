#ifndef EBONY_STANDIN_HTTPCALL_H
#define EBONY_STANDIN_HTTPCALL_H

#include "standin/httpheader.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ebony::standin {

/// Method, target, caller and headers of an HTTP request.
class HttpCall {
public:
  /// \p Target is the percent-encoded request target with its query;
  /// \p Caller is the IP address of the caller. Throws Poco::SyntaxException if
  /// the target holds a byte that has to be encoded.
  HttpCall(std::string Method, std::string Target, std::string Caller,
           std::vector<HttpHeader> Headers = {});

  const std::string &method() const { return Method_; }
  const std::string &target() const { return Target_; }
  const std::string &caller() const { return Caller_; }

  /// Returns the decoded path without the query.
  const std::string &path() const { return Path_; }

  /// Returns the value of the first header \p Name, compared without regard to
  /// case; empty when absent.
  std::string header(const std::string &Name) const;

  /// Returns the decoded value of query parameter \p Name; empty when absent.
  std::string query(const std::string &Name) const;

  /// Parses \p Text as a non-negative integer; returns std::nullopt when it is
  /// none.
  static std::optional<std::int64_t> number(const std::string &Text);

  friend bool operator==(const HttpCall &, const HttpCall &) = default;

private:
  std::string Method_;
  std::string Target_;
  std::string Caller_;
  std::string Path_;
  std::vector<HttpHeader> Headers_;
  std::vector<HttpHeader> Query_;
};

} // namespace ebony::standin

#endif
