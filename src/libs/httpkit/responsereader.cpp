#include "httpkit/responsereader.h"

#include <Poco/Exception.h>
#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>

namespace ebony::httpkit {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// The bytes of a session as a stream that the parser's functions can read,
/// until a deadline.
class SessionStream {
public:
  SessionStream(ClientSession &Session, const base::Clock &Clock,
                base::TimePoint Deadline)
      : Session_(Session), Clock_(Clock), Deadline_(Deadline) {}

  // Boost.Beast requires these names.
  // NOLINTBEGIN(readability-identifier-naming)
  template <typename Buffers> std::size_t read_some(const Buffers &Target) {
    beast::error_code Error;
    const std::size_t Count = read_some(Target, Error);
    if (Error)
      throw beast::system_error(Error);
    return Count;
  }

  template <typename Buffers>
  std::size_t read_some(const Buffers &Target, beast::error_code &Error) {
    const boost::asio::mutable_buffer First =
        *boost::asio::buffer_sequence_begin(Target);
    const base::Duration Remaining = Deadline_ - Clock_.now();
    if (Remaining <= base::Duration::zero()) {
      Error = boost::asio::error::timed_out;
      return 0;
    }
    try {
      Session_.setIoTimeout(Remaining);
      const int Count = Session_.socket().receiveBytes(
          First.data(), static_cast<int>(First.size()));
      if (Count <= 0)
        Error = boost::asio::error::eof;
      return static_cast<std::size_t>(std::max(Count, 0));
    } catch (const Poco::Exception &) {
      // A time-out or a reset; the caller reports the response as lost.
      Error = boost::asio::error::connection_reset;
      return 0;
    }
  }
  // NOLINTEND(readability-identifier-naming)

private:
  ClientSession &Session_;
  const base::Clock &Clock_;
  base::TimePoint Deadline_;
};

} // namespace

ResponseReader::ResponseReader(ClientSession &Session, std::string Method,
                               bool IsRequestSent, const base::Clock &Clock,
                               base::TimePoint Deadline)
    : Session_(Session), Method_(std::move(Method)),
      IsRequestSent_(IsRequestSent), Clock_(Clock), Deadline_(Deadline),
      Bytes_(httpwire::MaxUnparsedBytes) {}

bool ResponseReader::readHead(Poco::Net::HTTPResponse &Head) {
  for (int Interim = 0; Interim <= httpwire::MaxInterimResponses; ++Interim) {
    Parser_.emplace(Method_);
    while (!Parser_->is_header_done())
      if (!readSome())
        return false;
    const httpwire::ResponseKind Kind = Parser_->kind();
    if (Kind == httpwire::ResponseKind::Invalid)
      return false;
    if (Kind == httpwire::ResponseKind::Interim)
      continue;
    Head.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(
                                Parser_->get().result_int()),
                            std::string(Parser_->get().reason()));
    for (const auto &Field : Parser_->get())
      Head.add(std::string(Field.name_string()), std::string(Field.value()));
    return true;
  }
  return false;
}

std::optional<std::size_t> ResponseReader::readBody(char *Buffer,
                                                    std::size_t Size) {
  auto &Target = Parser_->get().body();
  Target.data = Buffer;
  Target.size = Size;
  while (!Parser_->is_done() && Target.size == Size)
    if (!readSome())
      return std::nullopt;
  return Size - Target.size;
}

// Reads from the socket what is needed to parse on.
bool ResponseReader::readSome() {
  SessionStream Stream(Session_, Clock_, Deadline_);
  beast::error_code Error;
  http::read_some(Stream, Bytes_, *Parser_, Error);
  if (Error && Error != http::error::need_buffer)
    return false;
  // The kernel reports a reset once, so after a failed write it looks like the
  // orderly end of the connection, which ends a body without a length.
  return IsRequestSent_ || !Parser_->is_done() || !Parser_->need_eof();
}

std::optional<std::int64_t> ResponseReader::bodyLength() const {
  const auto Length = Parser_->content_length();
  if (!Length)
    return std::nullopt;
  return static_cast<std::int64_t>(*Length);
}

bool ResponseReader::mayReuseConnection() const {
  return IsRequestSent_ && Parser_ && Parser_->is_done() &&
         Parser_->keep_alive() && !Parser_->need_eof() && Bytes_.size() == 0;
}

} // namespace ebony::httpkit
