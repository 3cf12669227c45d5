#ifndef EBONY_TESTS_PLATFORM_PAGINGSTORE_H
#define EBONY_TESTS_PLATFORM_PAGINGSTORE_H

#include "asynckit/awaiting.h"
#include "platform/jsonaccess.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <cctype>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace ebony::adapter {

/// Store on loopback that sends its tables in pages of a few rows. It refuses a
/// call whose query holds a byte that has to be encoded, or a parameter that
/// the call does not have.
class PagingStore {
public:
  PagingStore(boost::asio::io_context &Context, std::size_t RowsPerPage)
      : Context_(Context), RowsPerPage_(RowsPerPage),
        Acceptor_(Context, {boost::asio::ip::address_v4::loopback(), 0}) {
    boost::asio::co_spawn(Context_, accept(), boost::asio::detached);
  }

  boost::asio::ip::tcp::endpoint endpoint() const {
    return Acceptor_.local_endpoint();
  }
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value) {
    Tables_[Table][Key] = {Value, ++Version_};
  }
  /// Returns the keys of a table.
  std::set<std::string> keys(const std::string &Table) {
    std::set<std::string> Keys;
    for (const auto &[Key, Row] : Tables_[Table])
      Keys.insert(Key);
    return Keys;
  }
  int pagesRead() const { return PagesRead_; }
  int refusedCalls() const { return RefusedCalls_; }

private:
  using Query = std::map<std::string, std::string>;
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  struct StoredRow {
    std::string Value_;
    std::int64_t Version_ = 0;
  };
  struct Reply {
    unsigned Status_ = 200;
    std::string Body_;
  };

  asynckit::awaitable<void> accept() {
    for (;;) {
      asynckit::error_code Error;
      auto Socket = co_await Acceptor_.async_accept(asynckit::into(Error));
      if (Error)
        co_return;
      boost::asio::co_spawn(Context_, serve(std::move(Socket)),
                            boost::asio::detached);
    }
  }

  asynckit::awaitable<void> serve(boost::asio::ip::tcp::socket Socket) {
    namespace http = boost::beast::http;
    boost::beast::flat_buffer Buffer;
    asynckit::error_code Error;
    for (;;) {
      Request Call;
      co_await http::async_read(Socket, Buffer, Call, asynckit::into(Error));
      if (Error)
        co_return;
      const Reply Answer = co_await answer(Call);
      RefusedCalls_ += Answer.Status_ == 400 ? 1 : 0;
      http::response<http::string_body> Response;
      Response.result(Answer.Status_);
      Response.body() = Answer.Body_;
      Response.prepare_payload();
      co_await http::async_write(Socket, Response, asynckit::into(Error));
      if (Error)
        co_return;
    }
  }

  asynckit::awaitable<Reply> answer(const Request &Call) {
    const std::string Target(Call.target());
    const std::string Path = Target.substr(0, Target.find('?'));
    if (Path == "/ebonycove/rows-tx")
      co_return write(Call.body());
    const bool IsPage = Path == "/ebonycove/rows-get";
    const auto Parameters = parseQuery(
        Target.substr(Path.size()),
        IsPage ? std::set<std::string>{"table", "part", "from", "limit"}
               : std::set<std::string>{"table", "after", "waitMs"});
    if (!Parameters)
      co_return Reply{400, {}};
    if (IsPage)
      co_return page(*Parameters);
    // Nothing changes: the caller waits for as long as it asked.
    boost::asio::steady_timer Timer(
        Context_,
        std::chrono::milliseconds(std::stoi(Parameters->at("waitMs"))));
    asynckit::error_code Ignored; // The timer is never cancelled.
    co_await Timer.async_wait(asynckit::into(Ignored));
    co_return rows(new Poco::JSON::Array, false);
  }

  Reply page(const Query &Parameters) {
    ++PagesRead_;
    const auto &Table = Tables_[Parameters.at("table")];
    const auto From = Parameters.find("from");
    auto Row = From == Parameters.end() ? Table.begin()
                                        : Table.lower_bound(From->second);
    Poco::JSON::Array::Ptr List = new Poco::JSON::Array;
    for (; Row != Table.end() && List->size() < RowsPerPage_; ++Row) {
      Poco::JSON::Object::Ptr One = new Poco::JSON::Object;
      One->set("key", Row->first);
      One->set("value", toBase64(Row->second.Value_));
      One->set("versionNumber", Row->second.Version_);
      List->add(One);
    }
    return rows(List, Row != Table.end());
  }

  Reply rows(const Poco::JSON::Array::Ptr &List, bool HasMore) const {
    Poco::JSON::Object Body;
    Body.set("rows", List);
    Body.set("hasMore", HasMore);
    Body.set("versionNumber", Version_);
    std::ostringstream Text;
    Body.stringify(Text);
    return {200, Text.str()};
  }

  Reply write(const std::string &Body) {
    const Poco::JSON::Object::Ptr Root = parseObject(Body);
    if (!Root)
      return {400, {}};
    const Poco::JSON::Array::Ptr Writes = Root->getArray("writes");
    for (unsigned I = 0; I < Writes->size(); ++I) {
      const Poco::JSON::Object::Ptr Row = Writes->getObject(I);
      put(Row->getValue<std::string>("table"),
          Row->getValue<std::string>("key"),
          fromBase64(Row->getValue<std::string>("value")));
    }
    return {200, "{}"};
  }

  static std::optional<Query> parseQuery(const std::string &Text,
                                         const std::set<std::string> &Known) {
    Query Result;
    std::size_t At = 0;
    while (At < Text.size()) {
      const std::size_t End = std::min(Text.find('&', At + 1), Text.size());
      const std::string Pair = Text.substr(At + 1, End - At - 1);
      const std::size_t Equals = Pair.find('=');
      const std::string Name = Pair.substr(0, Equals);
      const auto Value = Equals == std::string::npos
                             ? std::nullopt
                             : decode(Pair.substr(Equals + 1));
      if (!Value || !Known.contains(Name) ||
          !Result.emplace(Name, *Value).second)
        return std::nullopt;
      At = End;
    }
    return Result;
  }

  /// Returns nothing if a byte is neither unreserved nor encoded.
  static std::optional<std::string> decode(const std::string &Text) {
    constexpr std::string_view Unreserved = "-._~";
    std::string Bytes;
    for (std::size_t At = 0; At < Text.size(); ++At) {
      const auto Byte = static_cast<unsigned char>(Text[At]);
      if (std::isalnum(Byte) || Unreserved.find(Text[At]) != Unreserved.npos) {
        Bytes += Text[At];
        continue;
      }
      const std::string Digits = Text.substr(At + 1, 2);
      const bool IsEncoded = Byte == '%' && Digits.size() == 2 &&
                             std::isxdigit(Digits[0]) &&
                             std::isxdigit(Digits[1]);
      if (!IsEncoded)
        return std::nullopt;
      Bytes += static_cast<char>(std::stoi(Digits, nullptr, 16));
      At += 2;
    }
    return Bytes;
  }

  boost::asio::io_context &Context_;
  std::size_t RowsPerPage_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  std::map<std::string, std::map<std::string, StoredRow>> Tables_;
  std::int64_t Version_ = 0;
  int PagesRead_ = 0;
  int RefusedCalls_ = 0;
};

} // namespace ebony::adapter

#endif
