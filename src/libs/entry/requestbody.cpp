#include "entry/requestbody.h"

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
                         std::int64_t MaxBytes)
    : Request_(Request), MaxBytes_(MaxBytes),
      DeclaredLength_(declaredLength(Request)) {}

bool RequestBody::bufferSmallBody() {
  if (DeclaredLength_ < 0 || DeclaredLength_ > MaxBufferedBytes)
    return true;
  BufferedBytes_.resize(static_cast<std::size_t>(DeclaredLength_));
  if (DeclaredLength_ > 0)
    Request_.stream().read(BufferedBytes_.data(), DeclaredLength_);
  IsConsumed_ = true;
  IsBuffered_ =
      DeclaredLength_ == 0 || Request_.stream().gcount() == DeclaredLength_;
  return IsBuffered_;
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
  std::istream &Body = Request_.stream();
  while (Body.read(Buffer.data(), Buffer.size()) || Body.gcount() > 0) {
    Total += Body.gcount();
    if (Total > MaxBytes_)
      return BodyResult::TooLarge;
    Sink.write(Buffer.data(), Body.gcount());
  }
  const bool IsTruncated = DeclaredLength_ >= 0 && Total != DeclaredLength_;
  return IsTruncated ? BodyResult::CallerDisconnected : BodyResult::Sent;
}

} // namespace ebony::entry
