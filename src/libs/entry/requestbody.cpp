#include "entry/requestbody.h"

#include "httpkit/guardedsocket.h"

#include <array>

namespace ebony::entry {

namespace {

constexpr std::int64_t MaxBufferedBytes = 65'536;
constexpr std::size_t CopyBufferBytes = 32'768;

std::int64_t declaredLength(const Poco::Net::HTTPServerRequest &Request) {
  if (Request.getChunkedTransferEncoding())
    return -1;
  return Request.hasContentLength() ? Request.getContentLength64() : 0;
}

} // namespace

RequestBody::RequestBody(Poco::Net::HTTPServerRequest &Request,
                         std::int64_t MaxBytes, const base::Clock &Clock,
                         base::TimePoint Deadline)
    : Request_(Request), MaxBytes_(MaxBytes), Clock_(Clock),
      Deadline_(Deadline), DeclaredLength_(declaredLength(Request)) {}

// Reads what one receive returns, so that the deadline is checked often: a
// caller may send byte by byte.
std::streamsize RequestBody::readPart(char *Buffer, std::streamsize Size) {
  std::istream &Body = Request_.stream();
  if (Body.peek() == std::istream::traits_type::eof())
    return 0;
  return Body.readsome(Buffer, Size);
}

BodyResult RequestBody::bufferSmallBody() {
  if (DeclaredLength_ < 0 || DeclaredLength_ > MaxBufferedBytes)
    return BodyResult::Sent;
  IsConsumed_ = true;
  BufferedBytes_.resize(static_cast<std::size_t>(DeclaredLength_));
  std::streamsize Total = 0;
  while (Total < DeclaredLength_) {
    const std::streamsize Count =
        readPart(&BufferedBytes_[static_cast<std::size_t>(Total)],
                 DeclaredLength_ - Total);
    if (Count <= 0)
      return BodyResult::CallerDisconnected;
    if (hasDeadlinePassed())
      return BodyResult::TooSlow;
    Total += Count;
  }
  IsBuffered_ = true;
  return BodyResult::Sent;
}

std::int64_t RequestBody::contentLength() const { return DeclaredLength_; }

BodyResult RequestBody::sendTo(std::ostream &Sink) {
  if (IsBuffered_) {
    Sink.write(BufferedBytes_.data(),
               static_cast<std::streamsize>(BufferedBytes_.size()));
    return BodyResult::Sent;
  }
  IsConsumed_ = true;
  std::array<char, CopyBufferBytes> Buffer{};
  std::int64_t Total = 0;
  for (;;) {
    const std::streamsize Count =
        readPart(Buffer.data(), static_cast<std::streamsize>(Buffer.size()));
    if (Count <= 0)
      break;
    Total += Count;
    if (Total > MaxBytes_)
      return BodyResult::TooLarge;
    if (hasDeadlinePassed())
      return BodyResult::TooSlow;
    Sink.write(Buffer.data(), Count);
  }
  // The end of the connection looks like the end of a chunked body.
  const bool IsTruncated = DeclaredLength_ >= 0
                               ? Total != DeclaredLength_
                               : httpkit::hasConnectionEnded(Request_);
  return IsTruncated ? BodyResult::CallerDisconnected : BodyResult::Sent;
}

} // namespace ebony::entry
