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

ResponseCopier::ResponseCopier(const HTTPResponse &Head, std::istream &Body)
    : Head_(Head), Body_(Body) {}

CopyResult ResponseCopier::copyTo(Poco::Net::HTTPServerResponse &Response) {
  Response.setStatusAndReason(Head_.getStatus(), Head_.getReason());
  copyResponseHeaders(Head_, Response);
  if (!mayHaveBody()) {
    Response.setContentLength(0);
    Response.send();
    return CopyResult::Complete;
  }
  const bool IsSmall = Head_.hasContentLength() &&
                       Head_.getContentLength64() <= MaxBufferedBytes;
  return IsSmall ? copyBuffered(Response) : copyStreamed(Response);
}

bool ResponseCopier::mayHaveBody() const {
  return Head_.getStatus() != HTTPResponse::HTTP_NO_CONTENT &&
         Head_.getStatus() != HTTPResponse::HTTP_NOT_MODIFIED;
}

CopyResult
ResponseCopier::copyBuffered(Poco::Net::HTTPServerResponse &Response) {
  const std::int64_t Length = Head_.getContentLength64();
  std::string Bytes(static_cast<std::size_t>(Length), '\0');
  if (Length > 0)
    Body_.read(Bytes.data(), Length);
  if (Length > 0 && Body_.gcount() != Length)
    return CopyResult::TruncatedBeforeSending;
  Response.sendBuffer(Bytes.data(), Bytes.size());
  return CopyResult::Complete;
}

CopyResult
ResponseCopier::copyStreamed(Poco::Net::HTTPServerResponse &Response) {
  const std::int64_t Length =
      Head_.hasContentLength() ? Head_.getContentLength64() : -1;
  if (Length >= 0)
    Response.setContentLength64(Length);
  else
    Response.setChunkedTransferEncoding(true);
  std::ostream &Sink = Response.send();
  std::array<char, CopyBufferBytes> Buffer{};
  std::int64_t Total = 0;
  while (Body_.read(Buffer.data(), Buffer.size()) || Body_.gcount() > 0) {
    Total += Body_.gcount();
    Sink.write(Buffer.data(), Body_.gcount());
  }
  const bool IsTruncated = Body_.bad() || (Length >= 0 && Total != Length);
  return IsTruncated ? CopyResult::TruncatedWhileSending : CopyResult::Complete;
}

} // namespace ebony::entry
