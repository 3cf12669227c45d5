#include "vm/responsewriter.h"

#include "vm/headerfields.h"

#include <boost/asio/write.hpp>

#include <array>
#include <cstdio>

namespace ebony::vm {

namespace {

namespace http = boost::beast::http;
using asynckit::awaitable;
using asynckit::error_code;
using asynckit::into;

std::string formatSeconds(base::Duration Span) {
  const auto Millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%lld.%03lld",
                static_cast<long long>(Millis / 1000),
                static_cast<long long>(Millis % 1000));
  return Text.data();
}

std::string statusLine(unsigned Status, std::string_view Reason) {
  return "HTTP/1.1 " + std::to_string(Status) + " " + std::string(Reason) +
         "\r\n";
}

/// Encodes the upstream's end-to-end fields without Content-Length.
std::string endToEndFields(const http::fields &Fields) {
  std::string Bytes;
  const std::string Connection(valueOf(Fields, "Connection"));
  for (const auto &Field : Fields) {
    const std::string_view Name(Field.name_string().data(),
                                Field.name_string().size());
    if (equalsIgnoringCase(Name, "Content-Length") ||
        isHopByHopField(Name, Connection))
      continue;
    Bytes += Name;
    Bytes += ": ";
    Bytes += std::string_view(Field.value().data(), Field.value().size());
    Bytes += "\r\n";
  }
  return Bytes;
}

std::string encodeChunk(const std::string &Piece) {
  if (Piece.empty())
    return {};
  std::array<char, 20> Size{};
  const int Digits =
      std::snprintf(Size.data(), Size.size(), "%zx\r\n", Piece.size());
  return std::string(Size.data(), static_cast<std::size_t>(Digits)) + Piece +
         "\r\n";
}

} // namespace

awaitable<bool> ResponseWriter::refuse(const CallerRequest &Request,
                                       const LocalResponse &Response,
                                       bool KeepsOpen) {
  constexpr unsigned Unavailable = 503;
  constexpr unsigned TooMany = 429;
  const bool IsNotExecuted =
      Response.Status_ == Unavailable || Response.Status_ == TooMany;
  std::string Bytes = statusLine(
      Response.Status_, std::string(http::obsolete_reason(
                            static_cast<http::status>(Response.Status_))));
  if (!Request.Id_.empty())
    Bytes += Names_.RequestId_ + ": " + Request.Id_ + "\r\n";
  if (IsNotExecuted && Response.RetryAfter_ > base::Duration::zero())
    Bytes += "Retry-After: " + formatSeconds(Response.RetryAfter_) + "\r\n";
  if (!KeepsOpen)
    Bytes += "Connection: close\r\n";
  Bytes +=
      "Content-Length: " + std::to_string(Response.Reason_.size()) + "\r\n\r\n";
  if (Request.Method_ != "HEAD")
    Bytes += Response.Reason_;
  co_return co_await send(Bytes);
}

awaitable<ResponseWriter::RelayResult>
ResponseWriter::relay(const CallerRequest &Request, UpstreamAttempt &Attempt,
                      bool KeepsOpen) {
  std::string Bytes = statusLine(Attempt.status(), Attempt.reason()) +
                      endToEndFields(Attempt.fields());
  const bool IsHead = Request.Method_ == "HEAD";
  const std::int64_t Length =
      Attempt.isComplete() && !IsHead
          ? static_cast<std::int64_t>(Attempt.body().size())
          : Attempt.bodyLength();
  const bool IsChunked = Length < 0 && !IsHead;
  if (IsChunked)
    Bytes += "Transfer-Encoding: chunked\r\n";
  else if (Length >= 0)
    Bytes += "Content-Length: " + std::to_string(Length) + "\r\n";
  if (!KeepsOpen)
    Bytes += "Connection: close\r\n";
  Bytes += "\r\n";
  std::string Piece = Attempt.body();
  for (;;) {
    Bytes += IsChunked ? encodeChunk(Piece) : Piece;
    if (IsChunked && Attempt.isComplete())
      Bytes += "0\r\n\r\n";
    const bool IsSent = co_await send(Bytes);
    if (!IsSent)
      co_return RelayResult::CallerDisconnected;
    if (Attempt.isComplete())
      co_return RelayResult::Whole;
    Bytes.clear();
    const bool IsRead = co_await Attempt.readMore(Piece);
    // The caller detects the truncation: neither the full length nor the last
    // chunk arrives.
    if (!IsRead)
      co_return RelayResult::Truncated;
  }
}

awaitable<bool> ResponseWriter::sendContinue() {
  co_return co_await send("HTTP/1.1 100 Continue\r\n\r\n");
}

awaitable<bool> ResponseWriter::send(const std::string &Bytes) {
  Share_.beginWait(CallerWait::Receive, Clock_.now());
  error_code Error;
  co_await boost::asio::async_write(Socket_, boost::asio::buffer(Bytes),
                                    into(Error));
  Share_.endWait(CallerWait::Receive);
  co_return !Error;
}

} // namespace ebony::vm
