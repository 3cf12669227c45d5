#include "vm/requestreader.h"

#include <boost/beast/http/read.hpp>

namespace ebony::vm {

namespace {

namespace http = boost::beast::http;
using asynckit::awaitable;
using asynckit::error_code;
using asynckit::into;

constexpr std::size_t PieceBytes = 8UL * 1024;

RequestReader::HeadStatus classifyHeadError(const error_code &Error) {
  using HeadStatus = RequestReader::HeadStatus;
  if (!Error)
    return HeadStatus::Read;
  if (Error == http::error::header_limit)
    return HeadStatus::HeaderTooLarge;
  if (Error == http::error::body_limit)
    return HeadStatus::BodyTooLarge;
  const bool IsProtocolError =
      Error.category() == make_error_code(http::error::bad_field).category();
  if (!IsProtocolError || Error == http::error::end_of_stream ||
      Error == http::error::partial_message)
    return HeadStatus::Ended;
  return HeadStatus::Malformed;
}

} // namespace

void RequestReader::begin(const traffic::CallerLimits &Limits) {
  Parser_.emplace();
  Parser_->header_limit(Limits.HeaderBytes_);
  Parser_->body_limit(Limits.BodyBytes_);
}

awaitable<bool> RequestReader::awaitFirstByte() {
  if (Buffer_.size() > 0)
    co_return true;
  Buffer_ = boost::beast::flat_buffer();
  error_code Error;
  co_await Socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                              into(Error));
  co_return !Error;
}

awaitable<RequestReader::HeadStatus> RequestReader::readHead() {
  error_code Error;
  co_await http::async_read_header(Socket_, Buffer_, *Parser_, into(Error));
  co_return classifyHeadError(Error);
}

awaitable<bool> RequestReader::readPiece(std::string &Piece) {
  const std::size_t Before = Piece.size();
  Piece.resize(Before + PieceBytes);
  auto &Target = Parser_->get().body();
  Target.data = &Piece[Before];
  Target.size = PieceBytes;
  error_code Error;
  co_await http::async_read_some(Socket_, Buffer_, *Parser_, into(Error));
  Piece.resize(Before + PieceBytes - Target.size);
  if (Error == http::error::need_buffer)
    Error = {};
  co_return !Error;
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

} // namespace ebony::vm
