#include "agent/operatorresponse.h"

#include "json/jsontext.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

namespace ebony::agent {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerResponse;

void sendText(HTTPServerResponse &Response, int Status, const char *Type,
              const std::string &Text) {
  Response.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(Status));
  Response.setContentType(Type);
  Response.sendBuffer(Text.data(), Text.size());
}

} // namespace

void sendJson(HTTPServerResponse &Response, int Status,
              const std::string &Text) {
  sendText(Response, Status, "application/json", Text);
}

void sendPlain(HTTPServerResponse &Response, const std::string &Text) {
  sendText(Response, HTTPResponse::HTTP_OK, "text/plain; charset=utf-8", Text);
}

void sendFindings(HTTPServerResponse &Response, const base::Findings &Report) {
  Array::Ptr List = new Array;
  for (const base::Finding &Finding : Report) {
    Object::Ptr Entry = new Object;
    Entry->set("source", Finding.source());
    Entry->set("path", Finding.path());
    Entry->set("message", Finding.message());
    List->add(Entry);
  }
  Object::Ptr Body = new Object;
  Body->set("type", "urn:ebonycove:problem:findings");
  Body->set("status",
            static_cast<int>(HTTPResponse::HTTP_UNPROCESSABLE_ENTITY));
  Body->set("detail", "Correct all findings and apply again; nothing was "
                      "applied.");
  Body->set("outcome", "not-run");
  Body->set("findings", List);
  Response.set("Ebony-Outcome", "not-run");
  sendText(Response, HTTPResponse::HTTP_UNPROCESSABLE_ENTITY,
           "application/problem+json", json::toText(Body) + "\n");
}

} // namespace ebony::agent
