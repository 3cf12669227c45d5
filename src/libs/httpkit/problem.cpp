#include "httpkit/problem.h"

#include "json/jsontext.h"

#include <Poco/JSON/Object.h>

namespace ebony::httpkit {

namespace {

std::string retryAfterSeconds(base::Duration Span) {
  const auto Seconds = std::chrono::ceil<std::chrono::seconds>(Span).count();
  return std::to_string(std::max<std::int64_t>(1, Seconds));
}

} // namespace

void sendProblem(Poco::Net::HTTPServerResponse &Response,
                 const Problem &Details) {
  Response.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Details.Status_));
  Response.set("Ebony-Outcome", std::string(toText(Details.Outcome_)));
  if (Details.RetryAfter_) {
    Response.set("Retry-After", retryAfterSeconds(*Details.RetryAfter_));
    Response.set("Ebony-Retry-After-Ms",
                 std::to_string(Details.RetryAfter_->count() / 1000 + 1));
  }
  Poco::JSON::Object Body;
  Body.set("type", "urn:ebonycove:problem:" + Details.Reason_);
  Body.set("title", Response.getReason());
  Body.set("status", Details.Status_);
  Body.set("detail", Details.Detail_);
  Body.set("outcome", std::string(toText(Details.Outcome_)));
  std::ostringstream Text;
  Body.stringify(Text);
  const std::string Bytes = Text.str();
  Response.setContentType("application/problem+json");
  Response.setContentLength64(static_cast<Poco::Int64>(Bytes.size()));
  // Flushed here, so that the caller receives the response before the rest of
  // its body is read and discarded.
  Response.send() << Bytes << std::flush;
}

} // namespace ebony::httpkit
