#ifndef EBONY_ENTRY_RESPONSECOPIER_H
#define EBONY_ENTRY_RESPONSECOPIER_H

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <istream>

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
  ResponseCopier(const Poco::Net::HTTPResponse &Head, std::istream &Body);

  CopyResult copyTo(Poco::Net::HTTPServerResponse &Response);

private:
  CopyResult copyBuffered(Poco::Net::HTTPServerResponse &Response);
  CopyResult copyStreamed(Poco::Net::HTTPServerResponse &Response);
  bool mayHaveBody() const;

  const Poco::Net::HTTPResponse &Head_;
  std::istream &Body_;
};

} // namespace ebony::entry

#endif
