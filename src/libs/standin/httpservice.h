#ifndef EBONY_STANDIN_HTTPSERVICE_H
#define EBONY_STANDIN_HTTPSERVICE_H

#include "standin/httpanswer.h"
#include "standin/httpcall.h"

#include <istream>

namespace ebony::standin {

/// Answers HTTP requests; several threads call it concurrently.
class HttpService {
public:
  virtual ~HttpService() = default;

  /// Returns the answer to \p Call. \p Body ends early when the caller
  /// disconnects.
  virtual HttpAnswer serve(const HttpCall &Call, std::istream &Body) = 0;
};

} // namespace ebony::standin

#endif
