#ifndef EBONY_STANDIN_HTTPANSWER_H
#define EBONY_STANDIN_HTTPANSWER_H

#include "base/finding.h"
#include "standin/httpheader.h"

#include <Poco/JSON/Object.h>

#include <string>
#include <vector>

namespace ebony::standin {

/// Part of an answer that is sent to the caller.
enum class Delivery {
  Whole,
  Cut, ///< Half of the body is sent, then the connection is closed.
  Lost ///< The connection is closed without an answer.
};

/// Answer to one HTTP request.
struct HttpAnswer {
  int Status_ = 204;
  std::string Type_;
  std::string Body_;
  std::vector<HttpHeader> Headers_;
  Delivery Delivery_ = Delivery::Whole;

  friend bool operator==(const HttpAnswer &, const HttpAnswer &) = default;
};

/// Returns an answer with a JSON body.
HttpAnswer jsonAnswer(int Status, const Poco::JSON::Object &Body);

/// Returns a problem document (RFC 9457) with the detail \p Detail.
HttpAnswer problemAnswer(int Status, const std::string &Detail);

/// Returns a 400 answer that lists all \p Problems, one per line.
HttpAnswer badRequest(const base::Findings &Problems);

/// Returns an answer that closes the connection instead of being sent.
HttpAnswer lostAnswer();

} // namespace ebony::standin

#endif
