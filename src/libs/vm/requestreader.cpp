#include "vm/requestreader.h"

#include <array>

namespace ebony::vm {

namespace {

namespace http = boost::beast::http;
using asynckit::awaitable;
using asynckit::error_code;

constexpr std::size_t PieceBytes = 8UL * 1024;

RequestReader::HeadStatus classifyHeadError(const error_code &Error) {
  using HeadStatus = RequestReader::HeadStatus;
  if (Error == http::error::header_limit)
    return HeadStatus::HeaderTooLarge;
  if (Error == http::error::body_limit)
    return HeadStatus::BodyTooLarge;
  return HeadStatus::Malformed;
}

} // namespace

void RequestReader::begin(const traffic::CallerLimits &Limits) {
  IsStopped_ = false;
  Parser_.emplace();
  Parser_->eager(false);
  Parser_->header_limit(Limits.HeaderBytes_);
  Parser_->body_limit(Limits.BodyBytes_);
}

awaitable<void> RequestReader::awaitFirstByte() {
  while (Input_.bytes().empty() && !Input_.hasEnded())
    co_await Input_.awaitChange();
}

awaitable<RequestReader::HeadStatus> RequestReader::readHead() {
  for (;;) {
    const std::string_view Bytes = Input_.bytes();
    if (!Bytes.empty()) {
      error_code Error;
      const std::size_t Parsed =
          Parser_->put(boost::asio::buffer(Bytes.data(), Bytes.size()), Error);
      Input_.consume(Parsed);
      if (Error && Error != http::error::need_more)
        co_return classifyHeadError(Error);
      if (Parser_->is_header_done())
        co_return HeadStatus::Read;
    }
    if (Input_.hasEnded())
      co_return HeadStatus::Ended;
    co_await Input_.awaitChange();
  }
}

awaitable<bool> RequestReader::readPiece(std::string &Piece) {
  const std::size_t Before = Piece.size();
  Piece.resize(Before + PieceBytes);
  auto &Target = Parser_->get().body();
  Target.data = &Piece[Before];
  Target.size = PieceBytes;
  bool IsRead = true;
  while (!isComplete() && Target.size > 0) {
    const std::string_view Bytes = Input_.bytes();
    error_code Error = http::error::need_more;
    std::size_t Parsed = 0;
    if (!Bytes.empty())
      Parsed =
          Parser_->put(boost::asio::buffer(Bytes.data(), Bytes.size()), Error);
    Input_.consume(Parsed);
    if (Error == http::error::need_buffer)
      break;
    if (Error && Error != http::error::need_more) {
      IsRead = false;
      break;
    }
    // All that has arrived is read at once: a body may come in tiny chunks.
    if (Parsed > 0)
      continue;
    if (Target.size < PieceBytes)
      break;
    if (Input_.hasEnded() || IsStopped_) {
      IsRead = false;
      break;
    }
    co_await Input_.awaitChange();
  }
  Piece.resize(Before + PieceBytes - Target.size);
  co_return IsRead;
}

awaitable<std::optional<std::string>> RequestReader::nextPiece() {
  std::string Piece;
  while (Piece.empty() && !isComplete()) {
    const bool IsRead = co_await readPiece(Piece);
    if (!IsRead)
      co_return std::nullopt;
  }
  co_return Piece;
}

void RequestReader::stop() {
  IsStopped_ = true;
  Input_.wake();
}

void RequestReader::discardArrived() {
  std::array<char, PieceBytes> Discarded;
  while (!isComplete() && !Input_.bytes().empty()) {
    auto &Target = Parser_->get().body();
    Target.data = Discarded.data();
    Target.size = Discarded.size();
    const std::string_view Bytes = Input_.bytes();
    error_code Error;
    const std::size_t Parsed =
        Parser_->put(boost::asio::buffer(Bytes.data(), Bytes.size()), Error);
    Input_.consume(Parsed);
    const bool IsMalformed = Error && Error != http::error::need_more &&
                             Error != http::error::need_buffer;
    if (IsMalformed || Parsed == 0)
      break;
  }
}

} // namespace ebony::vm
