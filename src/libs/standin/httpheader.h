#ifndef EBONY_STANDIN_HTTPHEADER_H
#define EBONY_STANDIN_HTTPHEADER_H

#include <string>

namespace ebony::standin {

/// Name and value of a header or of a query parameter.
struct HttpHeader {
  std::string Name_;
  std::string Value_;

  friend bool operator==(const HttpHeader &, const HttpHeader &) = default;
};

} // namespace ebony::standin

#endif
