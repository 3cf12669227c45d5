#include "platformstandin/platformservice.h"

#include <iterator>
#include <thread>

namespace ebony::platformstandin {

standin::HttpAnswer PlatformService::serve(const standin::HttpCall &Call,
                                           std::istream &Body) {
  const std::string Text(std::istreambuf_iterator<char>(Body), {});
  // A request whose body arrives incomplete must have no effect.
  const auto Length = standin::HttpCall::number(Call.header("Content-Length"));
  if (Length && static_cast<std::size_t>(*Length) != Text.size())
    return standin::lostAnswer();
  std::this_thread::sleep_for(Core_.oneWayLatency(Call.caller()));
  standin::HttpAnswer Answer = Core_.answer(Call, Text, Clock_.now());
  std::this_thread::sleep_for(Core_.oneWayLatency(Call.caller()));
  return Answer;
}

} // namespace ebony::platformstandin
