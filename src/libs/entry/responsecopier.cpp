#include "entry/responsecopier.h"

#include "entry/callerheaders.h"

#include <array>
#include <string>

namespace ebony::entry {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPResponse;

constexpr std::int64_t MaxBufferedBytes = 262'144;
constexpr std::size_t CopyBufferBytes = 32'768;

} // namespace

ResponseCopier::ResponseCopier(const HTTPResponse &Head,
                               httpkit::ResponseReader &Body)
    : Head_(Head), Body_(Body) {}

CopyResult ResponseCopier::copyTo(Poco::Net::HTTPServerResponse &Response) {
  Response.setStatusAndReason(Head_.getStatus(), Head_.getReason());
  copyResponseHeaders(Head_, Response);
  if (!mayHaveBody()) {
    Response.setContentLength(0);
    Response.send();
    return CopyResult::Complete;
  }
  const auto Length = Body_.bodyLength();
  const bool IsSmall = Length && *Length <= MaxBufferedBytes;
  return IsSmall ? copyBuffered(Response, *Length)
                 : copyStreamed(Response, Length);
}

bool ResponseCopier::mayHaveBody() const {
  return Head_.getStatus() != HTTPResponse::HTTP_NO_CONTENT &&
         Head_.getStatus() != HTTPResponse::HTTP_NOT_MODIFIED;
}

CopyResult ResponseCopier::copyBuffered(Poco::Net::HTTPServerResponse &Response,
                                        std::int64_t Length) {
  std::string Bytes(static_cast<std::size_t>(Length), '\0');
  std::size_t Total = 0;
  while (Total < Bytes.size()) {
    const auto Count =
        Body_.readBody(Bytes.data() + Total, Bytes.size() - Total);
    if (Count.value_or(0) == 0)
      return CopyResult::TruncatedBeforeSending;
    Total += *Count;
  }
  Response.sendBuffer(Bytes.data(), Bytes.size());
  return CopyResult::Complete;
}

CopyResult ResponseCopier::copyStreamed(Poco::Net::HTTPServerResponse &Response,
                                        std::optional<std::int64_t> Length) {
  if (Length)
    Response.setContentLength64(*Length);
  else
    Response.setChunkedTransferEncoding(true);
  std::ostream &Sink = Response.send();
  std::array<char, CopyBufferBytes> Buffer{};
  for (;;) {
    const auto Count = Body_.readBody(Buffer.data(), Buffer.size());
    if (!Count)
      return CopyResult::TruncatedWhileSending;
    if (*Count == 0)
      return CopyResult::Complete;
    Sink.write(Buffer.data(), static_cast<std::streamsize>(*Count));
  }
}

} // namespace ebony::entry
