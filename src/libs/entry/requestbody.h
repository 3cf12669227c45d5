#ifndef EBONY_ENTRY_REQUESTBODY_H
#define EBONY_ENTRY_REQUESTBODY_H

#include <Poco/Net/HTTPServerRequest.h>

#include <cstdint>
#include <string>

namespace ebony::entry {

/// Result of sending a request body to an upstream.
enum class BodyResult {
  Sent,
  /// The body exceeds the limit of the service.
  TooLarge,
  /// The caller's connection closed before the whole body arrived.
  CallerDisconnected,
};

/// Body of a caller's request. A small body is buffered, so that it can be sent
/// again after an upstream reports that it did not run the request; a larger
/// body is streamed once.
class RequestBody {
public:
  RequestBody(Poco::Net::HTTPServerRequest &Request, std::int64_t MaxBytes);

  /// Reads a small body into memory. Returns false when the caller disconnected
  /// before the end of the body.
  bool bufferSmallBody();

  /// Returns whether sendTo may be called again.
  bool canResend() const { return IsBuffered_ || !IsConsumed_; }

  /// Returns the length to declare; negative when it is not known in advance.
  std::int64_t contentLength() const;

  /// Writes the body to \p Sink.
  BodyResult sendTo(std::ostream &Sink);

private:
  Poco::Net::HTTPServerRequest &Request_;
  std::int64_t MaxBytes_;
  std::int64_t DeclaredLength_;
  bool IsBuffered_ = false;
  bool IsConsumed_ = false;
  std::string BufferedBytes_;
};

} // namespace ebony::entry

#endif
