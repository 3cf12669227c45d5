#include "telemetry/eventlog.h"

#include <fcntl.h>
#include <unistd.h>

#include <utility>

namespace ebony::telemetry {

namespace {

// Bytes that may wait for the reader; some thousand lines.
constexpr std::size_t MostPending = 512UL * 1024;

// Routine lines a second; above that only each tenth is written, so that the
// volume stays bounded when callers press.
constexpr int RoutinePerSecond = 20;
constexpr int Sampling = 10;

} // namespace

EventLog::EventLog(int Descriptor, std::string Source)
    : Descriptor_(Descriptor), Source_(std::move(Source)) {
  const int Flags = fcntl(Descriptor_, F_GETFL);
  if (Flags >= 0)
    fcntl(Descriptor_, F_SETFL, Flags | O_NONBLOCK);
}

void EventLog::write(const EventLine &Line, EventWeight Weight,
                     base::TimePoint Now) {
  if (Weight == EventWeight::Routine && !mayWriteRoutine(Now))
    return;
  if (Pending_.size() + Line.text().size() > MostPending) {
    ++Dropped_;
    return;
  }
  const auto Millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                          Now.time_since_epoch())
                          .count();
  Pending_ += "at_ms=";
  Pending_ += std::to_string(Millis);
  Pending_ += " vm=";
  Pending_ += Source_;
  Pending_ += ' ';
  Pending_ += Line.text();
  if (LeftOut_ > 0 && Weight == EventWeight::Routine)
    Pending_ += " left_out=" + std::to_string(std::exchange(LeftOut_, 0));
  Pending_ += '\n';
}

void EventLog::flush() {
  if (Dropped_ > DroppedTold_ && Pending_.size() < MostPending / 2) {
    EventLine Line("log-lines-dropped");
    Line.add("total", Dropped_);
    Pending_ += "vm=" + Source_ + " " + Line.text() + "\n";
    DroppedTold_ = Dropped_;
  }
  while (!Pending_.empty()) {
    const ssize_t Written =
        ::write(Descriptor_, Pending_.data(), Pending_.size());
    // A full pipe keeps the lines for the next time.
    if (Written <= 0)
      return;
    Pending_.erase(0, static_cast<std::size_t>(Written));
  }
}

bool EventLog::mayWriteRoutine(base::TimePoint Now) {
  if (Now - Second_ >= std::chrono::seconds(1)) {
    Second_ = Now;
    InSecond_ = 0;
  }
  ++InSecond_;
  if (InSecond_ <= RoutinePerSecond || InSecond_ % Sampling == 0)
    return true;
  ++LeftOut_;
  return false;
}

} // namespace ebony::telemetry
