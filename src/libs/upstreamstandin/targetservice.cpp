#include "upstreamstandin/targetservice.h"

#include <Poco/DigestEngine.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/SHA2Engine.h>

#include <array>
#include <thread>

namespace ebony::upstreamstandin {

using Poco::Net::HTTPResponse;
using standin::HttpAnswer;
using standin::HttpCall;

namespace {

constexpr char CancelPath[] = "/requests/";

/// Size and digest of a request's body.
struct BodyDigest {
  std::int64_t Bytes_ = 0;
  std::string Sha256_;
};

BodyDigest digestBody(std::istream &Body) {
  constexpr std::size_t ChunkBytes = 16384;
  std::array<char, ChunkBytes> Chunk{};
  Poco::SHA2Engine Engine;
  BodyDigest Digest;
  while (Body.read(Chunk.data(), Chunk.size()) || Body.gcount() > 0) {
    Engine.update(Chunk.data(), static_cast<std::size_t>(Body.gcount()));
    Digest.Bytes_ += Body.gcount();
  }
  Digest.Sha256_ = Poco::DigestEngine::digestToHex(Engine.digest());
  return Digest;
}

RunRequest parseRunRequest(const HttpCall &Call) {
  RunRequest Request;
  Request.Id_ = base::RequestId(Call.header("Ebony-Request-Id"));
  Request.Customer_ = base::CustomerName(Call.header("Ebony-Customer"));
  Request.Operation_ = Call.header("Ebony-Operation");
  Request.Method_ = Call.method();
  if (const auto TimeLeft = HttpCall::number(Call.header("Ebony-Deadline-Ms")))
    Request.Deadline_ = std::chrono::milliseconds(*TimeLeft);
  return Request;
}

HttpAnswer refusal(int Status, const std::string &Outcome,
                   const std::string &Detail) {
  HttpAnswer Answer = standin::problemAnswer(Status, Detail);
  Answer.Headers_.push_back({"Ebony-Upstream-Outcome", Outcome});
  return Answer;
}

HttpAnswer refusal(AdmissionDecision Reason) {
  if (Reason == AdmissionDecision::Down)
    return standin::lostAnswer();
  return refusal(HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "not-run",
                 Reason == AdmissionDecision::Draining
                     ? "This upstream takes no new work; use another."
                     : "This upstream is full; use another or come back.");
}

HttpAnswer echoAnswer(const HttpCall &Call, const RunRequest &Request,
                      const BodyDigest &Digest, const std::string &TargetName) {
  Poco::JSON::Object Json;
  Json.set("requestId", Request.Id_.text());
  Json.set("customer", Request.Customer_.text());
  Json.set("operation", Request.Operation_);
  Json.set("method", Request.Method_);
  Json.set("target", Call.target());
  Json.set("upstream", TargetName);
  Json.set("bodyBytes", Digest.Bytes_);
  Json.set("bodySha256", Digest.Sha256_);
  HttpAnswer Answer = standin::jsonAnswer(HTTPResponse::HTTP_OK, Json);
  Answer.Headers_.push_back({"Ebony-Request-Id", Request.Id_.text()});
  return Answer;
}

bool isBodyComplete(const HttpCall &Call, const BodyDigest &Digest) {
  const auto Length = HttpCall::number(Call.header("Content-Length"));
  return !Length || *Length == Digest.Bytes_;
}

} // namespace

HttpAnswer TargetService::serve(const HttpCall &Call, std::istream &Body) {
  if (!Call.header("Authorization").empty())
    Target_.recordKeyLeak();
  if (Call.method() == "GET" && Call.path() == "/healthz")
    return health();
  if (Call.method() == "GET" && Call.path() == "/load")
    return load();
  if (Call.method() == "DELETE" && Call.path().starts_with(CancelPath)) {
    const base::RequestId Id(Call.path().substr(sizeof(CancelPath) - 1));
    if (Target_.cancel(Id))
      return {};
    return standin::problemAnswer(HTTPResponse::HTTP_NOT_FOUND,
                                  "Give the id of a request in flight.");
  }
  return handleRun(Call, Body);
}

HttpAnswer TargetService::health() const {
  const TargetOrders Orders = Target_.orders();
  std::this_thread::sleep_for(Target_.settings().ProbeCost_);
  if (Orders.Down_ && !Orders.LieHealth_)
    return standin::lostAnswer();
  if (Orders.Drain_ && !Orders.LieHealth_)
    return refusal(AdmissionDecision::Draining);
  return {HTTPResponse::HTTP_OK,
          "text/plain",
          "ok\n",
          {},
          standin::Delivery::Whole};
}

HttpAnswer TargetService::load() const {
  std::this_thread::sleep_for(Target_.settings().ProbeCost_);
  if (Target_.orders().Down_)
    return standin::lostAnswer();
  Poco::JSON::Object Json;
  Json.set("inFlight", Target_.reportedLoad(Clock_.now()));
  Json.set("slots", Target_.settings().Slots_);
  return standin::jsonAnswer(HTTPResponse::HTTP_OK, Json);
}

HttpAnswer TargetService::handleRun(const HttpCall &Call, std::istream &Body) {
  const Admission Admitted = Target_.admit(parseRunRequest(Call), Clock_.now());
  if (!Admitted.Run_)
    return refusal(Admitted.Decision_);
  HttpAnswer Answer = executeRun(Call, Body, *Admitted.Run_);
  Target_.releaseSlot(*Admitted.Run_, Clock_.now());
  Answer.Headers_.push_back(
      {"Ebony-Load", std::to_string(Target_.reportedLoad(Clock_.now())) + "/" +
                         std::to_string(Target_.settings().Slots_)});
  std::this_thread::sleep_for(Target_.orders().DelayAnswer_);
  return Target_.applyAnswerFaults(std::move(Answer));
}

HttpAnswer TargetService::executeRun(const HttpCall &Call, std::istream &Body,
                                     Run &ActiveRun) {
  const RunRequest &Request = ActiveRun.request();
  const BodyDigest Digest = digestBody(Body);
  if (!isBodyComplete(Call, Digest))
    return refusal(HTTPResponse::HTTP_BAD_REQUEST, "not-run",
                   "Send the whole body.");
  Target_.recordRun(Request);
  const base::Duration ServiceTime = ActiveRun.serviceTime();
  const base::Duration TimeLeft = Request.Deadline_.value_or(ServiceTime);
  if (!ActiveRun.waitFor(std::min(ServiceTime, TimeLeft)))
    return refusal(HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "unknown",
                   "The request was cancelled while it ran.");
  if (TimeLeft < ServiceTime)
    return refusal(HTTPResponse::HTTP_GATEWAY_TIMEOUT, "unknown",
                   "The deadline passed while the request ran.");
  return echoAnswer(Call, Request, Digest, Target_.settings().Name_);
}

} // namespace ebony::upstreamstandin
