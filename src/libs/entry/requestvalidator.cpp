#include "entry/requestvalidator.h"

#include <algorithm>
#include <charconv>

namespace ebony::entry {

namespace {

using httpkit::Outcome;
using httpkit::Problem;
using Poco::Net::HTTPServerRequest;

constexpr int BadRequest = 400;
constexpr int Unauthorized = 401;
constexpr int Forbidden = 403;
constexpr int NotFound = 404;
constexpr int TooLarge = 413;
constexpr int TooManyRequests = 429;
constexpr int Unavailable = 503;
constexpr std::size_t MaxIdempotencyKeyLength = 256;
constexpr std::int64_t MaxDeadlineMillis = 3'600'000;
constexpr base::Duration FreshnessRetryAfter = std::chrono::seconds(1);

Problem makeRefusal(int Status, const char *Reason, const char *Detail) {
  return {Status, Outcome::NotRun, Reason, Detail, std::nullopt};
}

std::optional<std::int64_t> parseNumber(const std::string &Text) {
  std::int64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Text.empty())
    return std::nullopt;
  return Number;
}

std::string bearerKey(const HTTPServerRequest &Request) {
  static const std::string Scheme = "Bearer ";
  const std::string Value = Request.get("Authorization", "");
  return Value.compare(0, Scheme.size(), Scheme) == 0
             ? Value.substr(Scheme.size())
             : std::string();
}

bool isPrintable(const std::string &Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](char Symbol) { return Symbol > ' ' && Symbol < 127; });
}

} // namespace

RequestValidator::RequestValidator(const fleet::FleetState &State,
                                   const base::Clock &Clock,
                                   Admission &RateLimits,
                                   RequestIdGenerator &IdGenerator)
    : State_(State), Clock_(Clock), Keys_(State.keys(), State.freshness()),
      Admission_(RateLimits), IdGenerator_(IdGenerator) {}

ValidationResult RequestValidator::validate(const HTTPServerRequest &Request) {
  ValidationResult Result = parseHead(Request);
  auto *Context = std::get_if<RequestContext>(&Result);
  if (Context == nullptr)
    return Result;
  Context->Id_ = IdGenerator_.next();
  if (auto Refusal = authenticate(Request, *Context))
    return *Refusal;
  if (auto Refusal = applyRateLimit(*Context))
    return *Refusal;
  return Result;
}

ValidationResult
RequestValidator::validateRelayed(const HTTPServerRequest &Request) {
  ValidationResult Result = parseHead(Request);
  auto *Context = std::get_if<RequestContext>(&Result);
  if (Context == nullptr)
    return Result;
  Context->IsRelayed_ = true;
  Context->Id_ = base::RequestId(Request.get("Ebony-Request-Id", ""));
  Context->Customer_ = base::CustomerName(Request.get("Ebony-Customer", ""));
  return Result;
}

ValidationResult RequestValidator::parseHead(const HTTPServerRequest &Request) {
  RequestContext Context;
  Context.ArrivedAt_ = Clock_.now();
  Context.Configuration_ = State_.configuration();
  const auto Path = parseServicePath(Request.getURI());
  const auto *Service =
      Path ? Context.Configuration_->find<records::ServiceRecord>(
                 Path->Service_.text())
           : nullptr;
  if (Service == nullptr)
    return makeRefusal(NotFound, "no-service",
                       "Name a service that exists: /s/<service>/<path>.");
  Context.Path_ = *Path;
  const auto *Route =
      Context.Configuration_->findRoute(Path->Service_, Path->Path_);
  if (Route == nullptr)
    return makeRefusal(NotFound, "no-route",
                       "Use a path for which the service has a route.");
  Context.RouteName_ = Route->Name_;
  Context.MaxBodyBytes_ = Service->MaxBodyBytes_;
  if (Request.hasContentLength() && Request.getContentLength64() < 0)
    return makeRefusal(BadRequest, "content-length",
                       "Send a Content-Length that is not negative.");
  if (Request.getContentLength64() > Service->MaxBodyBytes_)
    return makeRefusal(TooLarge, "body-too-large",
                       "Send a smaller body; the service's limit is exceeded.");
  Context.IdempotencyKey_ = Request.get("Idempotency-Key", "");
  if (Context.IdempotencyKey_.size() > MaxIdempotencyKeyLength ||
      !isPrintable(Context.IdempotencyKey_))
    return makeRefusal(
        BadRequest, "idempotency-key",
        "Send an Idempotency-Key of at most 256 visible characters.");
  base::Duration Limit = Service->Timeout_;
  if (Request.has("Ebony-Deadline-Ms")) {
    const auto Millis = parseNumber(Request.get("Ebony-Deadline-Ms"));
    if (!Millis || *Millis < 1 || *Millis > MaxDeadlineMillis)
      return makeRefusal(BadRequest, "deadline",
                         "Send Ebony-Deadline-Ms as a whole number from 1 to "
                         "3600000.");
    Limit = std::min<base::Duration>(Limit, std::chrono::milliseconds(*Millis));
  }
  Context.Deadline_ = Context.ArrivedAt_ + Limit;
  return Context;
}

std::optional<Problem>
RequestValidator::authenticate(const HTTPServerRequest &Request,
                               RequestContext &Context) const {
  const auto *Route =
      Context.Configuration_->find<records::RouteRecord>(Context.RouteName_);
  if (Route->Access_ == records::RouteAccess::Open)
    return std::nullopt;
  Context.KeyText_ = bearerKey(Request);
  if (Context.KeyText_.empty())
    return makeRefusal(Unauthorized, "no-key",
                       "Send a key: Authorization: Bearer <key>.");
  if (auto Refusal = checkKey(Context.KeyText_, Context.Customer_))
    return Refusal;
  if (const auto *Customer =
          Context.Configuration_->find<records::CustomerRecord>(
              Context.Customer_.text()))
    Context.Weight_ = Customer->Weight_;
  return std::nullopt;
}

std::optional<Problem>
RequestValidator::checkKey(const std::string &KeyText,
                           base::CustomerName &Customer) const {
  const trust::KeyCheckResult Verdict =
      Keys_.check(KeyText, Customer, Clock_.now());
  switch (Verdict.Status_) {
  case trust::KeyCheckStatus::Accepted:
    Customer = Verdict.Customer_;
    return std::nullopt;
  case trust::KeyCheckStatus::Rejected:
    return makeRefusal(Unauthorized, "key-rejected",
                       "Use a key that is in force; this one is not.");
  case trust::KeyCheckStatus::WrongCustomer:
    return makeRefusal(Forbidden, "wrong-customer",
                       "Use a key of the customer that the request names.");
  case trust::KeyCheckStatus::NotFresh:
    break;
  }
  Problem Refusal = makeRefusal(
      Unavailable, "keys-not-fresh",
      "Try another entry VM, or this one again after the given time; "
      "this VM cannot know which keys are in force.");
  Refusal.RetryAfter_ = FreshnessRetryAfter;
  return Refusal;
}

std::optional<Problem>
RequestValidator::applyRateLimit(const RequestContext &Context) {
  if (Context.Customer_.isEmpty())
    return std::nullopt;
  const AdmissionDecision Decision =
      Admission_.admit(Context.Customer_, Clock_.now());
  if (Decision.IsAdmitted_)
    return std::nullopt;
  Problem Refusal = makeRefusal(TooManyRequests, "rate-limit",
                                "Send less, or again after the given time; the "
                                "customer's rate and burst are used up.");
  Refusal.RetryAfter_ = Decision.RetryAfter_;
  return Refusal;
}

std::optional<Problem>
RequestValidator::recheckKey(const RequestContext &Context) const {
  if (Context.KeyText_.empty())
    return std::nullopt;
  base::CustomerName Customer = Context.Customer_;
  return checkKey(Context.KeyText_, Customer);
}

} // namespace ebony::entry
