#include "vm/answerwriter.h"

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

std::string secondsText(base::Duration Span) {
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

/// The upstream's fields but for those of one connection.
std::string passedFields(const http::fields &Fields) {
  std::string Bytes;
  const std::string Connection(valueOf(Fields, "Connection"));
  for (const auto &Field : Fields) {
    const std::string_view Name(Field.name_string().data(),
                                Field.name_string().size());
    if (sameName(Name, "Content-Length") || isHopField(Name, Connection))
      continue;
    Bytes += Name;
    Bytes += ": ";
    Bytes += std::string_view(Field.value().data(), Field.value().size());
    Bytes += "\r\n";
  }
  return Bytes;
}

std::string chunkOf(const std::string &Piece) {
  if (Piece.empty())
    return {};
  std::array<char, 20> Size{};
  const int Digits =
      std::snprintf(Size.data(), Size.size(), "%zx\r\n", Piece.size());
  return std::string(Size.data(), static_cast<std::size_t>(Digits)) + Piece +
         "\r\n";
}

} // namespace

awaitable<bool> AnswerWriter::refuse(const CallerRequest &Request,
                                     const OwnAnswer &Answer, bool KeepsOpen) {
  constexpr unsigned Unavailable = 503;
  constexpr unsigned TooMany = 429;
  const bool IsPromise =
      Answer.Status_ == Unavailable || Answer.Status_ == TooMany;
  std::string Bytes = statusLine(
      Answer.Status_, std::string(http::obsolete_reason(
                          static_cast<http::status>(Answer.Status_))));
  if (!Request.Id_.empty())
    Bytes += Names_.RequestId_ + ": " + Request.Id_ + "\r\n";
  if (IsPromise && Answer.RetryAfter_ > base::Duration::zero())
    Bytes += "Retry-After: " + secondsText(Answer.RetryAfter_) + "\r\n";
  if (!KeepsOpen)
    Bytes += "Connection: close\r\n";
  Bytes +=
      "Content-Length: " + std::to_string(Answer.Reason_.size()) + "\r\n\r\n";
  if (Request.Method_ != "HEAD")
    Bytes += Answer.Reason_;
  co_return co_await send(Bytes);
}

awaitable<AnswerWriter::Relayed>
AnswerWriter::relay(const CallerRequest &Request, Exchange &Answer,
                    bool KeepsOpen) {
  std::string Bytes = statusLine(Answer.status(), Answer.reason()) +
                      passedFields(Answer.fields());
  const bool IsHead = Request.Method_ == "HEAD";
  const std::int64_t Length =
      Answer.isWhole() && !IsHead
          ? static_cast<std::int64_t>(Answer.body().size())
          : Answer.bodyLength();
  const bool IsChunked = Length < 0 && !IsHead;
  if (IsChunked)
    Bytes += "Transfer-Encoding: chunked\r\n";
  else if (Length >= 0)
    Bytes += "Content-Length: " + std::to_string(Length) + "\r\n";
  if (!KeepsOpen)
    Bytes += "Connection: close\r\n";
  Bytes += "\r\n";
  std::string Piece = Answer.body();
  for (;;) {
    Bytes += IsChunked ? chunkOf(Piece) : Piece;
    if (IsChunked && Answer.isWhole())
      Bytes += "0\r\n\r\n";
    const bool IsSent = co_await send(Bytes);
    if (!IsSent)
      co_return Relayed::CallerGone;
    if (Answer.isWhole())
      co_return Relayed::Whole;
    Bytes.clear();
    const bool IsRead = co_await Answer.readMore(Piece);
    // The caller sees the answer cut: neither its length nor its last chunk
    // comes.
    if (!IsRead)
      co_return Relayed::BrokeOff;
  }
}

awaitable<bool> AnswerWriter::invite() {
  co_return co_await send("HTTP/1.1 100 Continue\r\n\r\n");
}

awaitable<bool> AnswerWriter::send(const std::string &Bytes) {
  error_code Error;
  co_await boost::asio::async_write(Socket_, boost::asio::buffer(Bytes),
                                    into(Error));
  co_return !Error;
}

} // namespace ebony::vm
