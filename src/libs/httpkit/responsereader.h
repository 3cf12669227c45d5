#ifndef EBONY_HTTPKIT_RESPONSEREADER_H
#define EBONY_HTTPKIT_RESPONSEREADER_H

#include "base/clock.h"
#include "httpkit/clientsession.h"
#include "httpwire/responseparser.h"

#include <Poco/Net/HTTPResponse.h>
#include <boost/beast/core/flat_buffer.hpp>

#include <optional>
#include <string>

namespace ebony::httpkit {

/// Reads the response to the request that a session has sent. Bytes that are no
/// response in the protocol are never taken for one.
class ResponseReader {
public:
  /// \p Method is that of the request, \p IsRequestSent what endRequest() has
  /// returned, \p Deadline the time at which reading ends.
  ResponseReader(ClientSession &Session, std::string Method, bool IsRequestSent,
                 const base::Clock &Clock, base::TimePoint Deadline);

  /// Reads interim responses and the head of the final one. Returns false when
  /// none arrives in time.
  bool readHead(Poco::Net::HTTPResponse &Head);

  /// Reads up to \p Size bytes of the body into \p Buffer. Returns their
  /// number, 0 at the end of the body, and std::nullopt when the response was
  /// cut off.
  std::optional<std::size_t> readBody(char *Buffer, std::size_t Size);

  /// Returns the length of the body that the head names; std::nullopt if it
  /// names none.
  std::optional<std::int64_t> bodyLength() const;

  /// Returns whether another request may be sent on the connection.
  bool mayReuseConnection() const;

private:
  bool readSome();

  ClientSession &Session_;
  std::string Method_;
  bool IsRequestSent_;
  const base::Clock &Clock_;
  base::TimePoint Deadline_;
  boost::beast::flat_buffer Bytes_;
  std::optional<httpwire::ResponseParser> Parser_;
};

} // namespace ebony::httpkit

#endif
