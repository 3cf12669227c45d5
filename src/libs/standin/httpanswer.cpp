#include "standin/httpanswer.h"

#include "standin/jsonfields.h"

namespace ebony::standin {

HttpAnswer jsonAnswer(int Status, const Poco::JSON::Object &Body) {
  return {Status, "application/json", toText(Body), {}, Delivery::Whole};
}

HttpAnswer problemAnswer(int Status, const std::string &Detail) {
  Poco::JSON::Object Body;
  Body.set("status", Status);
  Body.set("detail", Detail);
  HttpAnswer Answer = jsonAnswer(Status, Body);
  Answer.Type_ = "application/problem+json";
  return Answer;
}

HttpAnswer badRequest(const base::Findings &Problems) {
  constexpr int BadRequest = 400;
  return problemAnswer(BadRequest, base::toText(Problems));
}

HttpAnswer lostAnswer() {
  HttpAnswer Answer;
  Answer.Delivery_ = Delivery::Lost;
  return Answer;
}

} // namespace ebony::standin
