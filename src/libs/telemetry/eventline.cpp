#include "telemetry/eventline.h"

namespace ebony::telemetry {

EventLine::EventLine(std::string_view Event) {
  Text_.reserve(256);
  Text_ += "event=";
  Text_ += Event;
}

EventLine &EventLine::add(std::string_view Key, std::string_view Value) {
  static constexpr char Digits[] = "0123456789abcdef";
  constexpr unsigned char FirstPrintable = 0x21;
  constexpr unsigned char Delete = 0x7f;
  Text_ += ' ';
  Text_ += Key;
  Text_ += '=';
  for (const char Each : Value) {
    const auto Byte = static_cast<unsigned char>(Each);
    if (Byte >= FirstPrintable && Byte != Delete && Each != '=' &&
        Each != '%') {
      Text_ += Each;
      continue;
    }
    Text_ += '%';
    Text_ += Digits[Byte >> 4U];
    Text_ += Digits[Byte & 0xfU];
  }
  return *this;
}

EventLine &EventLine::add(std::string_view Key, std::int64_t Value) {
  Text_ += ' ';
  Text_ += Key;
  Text_ += '=';
  Text_ += std::to_string(Value);
  return *this;
}

} // namespace ebony::telemetry
