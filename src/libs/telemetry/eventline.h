#ifndef EBONY_TELEMETRY_EVENTLINE_H
#define EBONY_TELEMETRY_EVENTLINE_H

#include <cstdint>
#include <string>
#include <string_view>

namespace ebony::telemetry {

/// One structured log line: "event=NAME key=value ...". Spaces, '=', '%' and
/// control characters in values are written as percent escapes.
class EventLine {
public:
  explicit EventLine(std::string_view Event);

  EventLine &add(std::string_view Key, std::string_view Value);
  EventLine &add(std::string_view Key, std::int64_t Value);

  const std::string &text() const { return Text_; }

private:
  std::string Text_;
};

} // namespace ebony::telemetry

#endif
