#include "entry/callerheaders.h"

#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace ebony::entry {

namespace {

constexpr std::array<std::string_view, 11> ConnectionHeaders{
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "host"};

constexpr std::string_view SystemPrefix = "ebony-";

bool isConnectionHeader(const std::string &LowerName) {
  return std::find(ConnectionHeaders.begin(), ConnectionHeaders.end(),
                   LowerName) != ConnectionHeaders.end();
}

bool isWithheldHeader(const std::string &LowerName) {
  return LowerName == "authorization" || LowerName == "proxy-authorization" ||
         LowerName == "idempotency-key";
}

// The response to the caller already has its own date and request id.
bool isOwnResponseHeader(const std::string &LowerName) {
  return LowerName == "date" || LowerName == "ebony-request-id" ||
         LowerName == "ebony-load" || LowerName == "ebony-upstream-outcome";
}

} // namespace

void copyCallerHeaders(const Poco::Net::HTTPRequest &From,
                       Poco::Net::HTTPRequest &To) {
  for (const auto &[Name, Value] : From) {
    const std::string Lower = Poco::toLower(Name);
    const bool IsSystem =
        Lower.compare(0, SystemPrefix.size(), SystemPrefix) == 0;
    if (!isConnectionHeader(Lower) && !isWithheldHeader(Lower) && !IsSystem)
      To.add(Name, Value);
  }
}

void addSystemHeaders(const RequestContext &Context, base::TimePoint Now,
                      Poco::Net::HTTPRequest &To) {
  const auto Remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      Context.Deadline_ - Now);
  To.set("Ebony-Request-Id", Context.Id_.text());
  To.set("Ebony-Deadline-Ms",
         std::to_string(std::max<std::int64_t>(1, Remaining.count())));
  if (!Context.Customer_.isEmpty())
    To.set("Ebony-Customer", Context.Customer_.text());
  if (!Context.IdempotencyKey_.empty())
    To.set("Ebony-Operation", Context.IdempotencyKey_);
}

void copyResponseHeaders(const Poco::Net::HTTPResponse &From,
                         Poco::Net::HTTPResponse &To) {
  for (const auto &[Name, Value] : From) {
    const std::string Lower = Poco::toLower(Name);
    if (!isConnectionHeader(Lower) && !isOwnResponseHeader(Lower))
      To.add(Name, Value);
  }
}

} // namespace ebony::entry
