#ifndef EBONY_ENTRY_REQUESTBODY_H
#define EBONY_ENTRY_REQUESTBODY_H

#include "base/clock.h"

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
  /// The deadline passed before the whole body arrived.
  TooSlow,
};

/// Body of a caller's request. A small body is buffered, so that it can be sent
/// again after an upstream reports that it did not run the request; a larger
/// body is streamed once.
class RequestBody {
public:
  /// The body is read until \p Deadline by \p Clock.
  RequestBody(Poco::Net::HTTPServerRequest &Request, std::int64_t MaxBytes,
              const base::Clock &Clock, base::TimePoint Deadline);

  /// Reads a small body into memory. Returns Sent when it was read, or when it
  /// is to be streamed.
  BodyResult bufferSmallBody();

  /// Returns whether sendTo may be called again.
  bool canResend() const { return IsBuffered_ || !IsConsumed_; }

  /// Returns the length to declare; negative when it is not known in advance.
  std::int64_t contentLength() const;

  /// Writes the body to \p Sink.
  BodyResult sendTo(std::ostream &Sink);

private:
  /// Reads the next part of the body into \p Buffer. Returns the number of
  /// bytes; 0 at the end of the body or of the connection.
  std::streamsize readPart(char *Buffer, std::streamsize Size);
  bool hasDeadlinePassed() const { return Clock_.now() >= Deadline_; }

  Poco::Net::HTTPServerRequest &Request_;
  std::int64_t MaxBytes_;
  const base::Clock &Clock_;
  base::TimePoint Deadline_;
  std::int64_t DeclaredLength_;
  bool IsBuffered_ = false;
  bool IsConsumed_ = false;
  std::string BufferedBytes_;
};

} // namespace ebony::entry

#endif
