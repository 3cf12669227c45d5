#ifndef EBONY_ENTRY_RESPONSECOPIER_H
#define EBONY_ENTRY_RESPONSECOPIER_H

#include "httpkit/responsereader.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace ebony::entry {

/// How much of a response reached the caller.
enum class CopyResult {
  /// The complete response was sent.
  Complete,
  /// The upstream's response was truncated before anything was sent to the
  /// caller.
  TruncatedBeforeSending,
  /// The upstream's response was truncated while it was sent to the caller; the
  /// caller's connection has to be closed, so that it sees that the response is
  /// not complete.
  TruncatedWhileSending,
};

/// Copies an upstream's response to the caller. A small response is buffered
/// before it is sent. A truncated response never looks complete to the caller.
class ResponseCopier {
public:
  /// \p Body has read \p Head.
  ResponseCopier(const Poco::Net::HTTPResponse &Head,
                 httpkit::ResponseReader &Body);

  CopyResult copyTo(Poco::Net::HTTPServerResponse &Response);

private:
  CopyResult copyBuffered(Poco::Net::HTTPServerResponse &Response,
                          std::int64_t Length);
  CopyResult copyStreamed(Poco::Net::HTTPServerResponse &Response,
                          std::optional<std::int64_t> Length);
  bool mayHaveBody() const;

  const Poco::Net::HTTPResponse &Head_;
  httpkit::ResponseReader &Body_;
};

} // namespace ebony::entry

#endif
